/* Settings never revert, and an accepted edit is never lost.

   The processes and the code that they model:
     Authority  the platform's settings object with its conditional update.
     Operators  commands/publishing.py, each with up to N_TRIES edits: _read_base,
                put, _resolve, _judge. The two race; each may give up at any time.
     Hosts      entry/documents.py and coordination/documents.py (Documents.offer);
                each may restart once. Pauses are modelled as steps taken later. One
                restart covers any number, as a host keeps no state across it.

   A write may take effect at any later time and more than once, and its reply may be
   lost or late. A read may return any past version or the newest. A host's message may
   reach another host at any later time, or never.

   Properties of hosts: between two restarts, the version in force never decreases. A
   restarted host begins with the file (version 0) and is not ready. It becomes ready
   either by an answer from the platform, which may be stale; or by a peer's answer to
   a request sent since the restart. In that case its version is at least the peer's
   version at the time of the restart, unless the peer has restarted since. (Such an
   answer arrives on a connection opened since the restart, so the model takes it at
   once.) The time until an edit is in force everywhere is not modelled.

   Each #ifdef removes one safeguard or, as REACH_, asserts that an expected event
   never happens; the check of each variant must fail. */

#define N_OPERATORS 2
#define N_TRIES 2
#define N_EDITS 4                          /* N_OPERATORS * N_TRIES */
#define N_HOSTS 2
#define BIT(edit) (1 << (edit))

/* The authority: the edits that each version contains. */
byte head;
byte edits_at[5];
byte stored;                               /* edits that took effect */

/* The writes sent, and the replies to them. */
bool put_sent[N_EDITS], stored_said[N_EDITS], conflict_said[N_EDITS];
byte base[N_EDITS];

/* The results of edits reported to the operators. */
byte told_accepted, told_refused;

active proctype Authority() {
  byte edit;
end:
  do
  :: atomic {
       select(edit : 0 .. N_EDITS - 1);
       if
       :: !put_sent[edit] -> skip
#ifdef UNCONDITIONAL_PUT
       :: put_sent[edit] && !stored_said[edit] ->
#else
       :: put_sent[edit] && head == base[edit] ->
#endif
            edits_at[head + 1] = edits_at[base[edit]] | BIT(edit);
            head++;
            stored = stored | BIT(edit);
            stored_said[edit] = true
#ifndef UNCONDITIONAL_PUT
       :: put_sent[edit] && head != base[edit] -> conflict_said[edit] = true
#endif
       fi;
       edit = 0 }
  od
}

proctype Operator(byte number) {
  byte try, edit, version;
  do
  :: try == N_TRIES -> break
  :: try < N_TRIES ->
       edit = number * N_TRIES + try;
       atomic { select(version : 0 .. head);                  /* _read_base */
         base[edit] = version; put_sent[edit] = true; version = 0 }
       if
       :: stored_said[edit] -> told_accepted = told_accepted | BIT(edit); break
       :: conflict_said[edit] ->
#ifdef RETRY_WITHOUT_ID
            told_refused = told_refused | BIT(edit)
#else
            atomic {                                          /* _resolve, _judge */
#ifdef STALE_READ_RESOLVES
              select(version : 0 .. head);
#else
              select(version : base[edit] + 1 .. head);
#endif
              if
              :: edits_at[version] & BIT(edit) ->
                   told_accepted = told_accepted | BIT(edit)
              :: else -> told_refused = told_refused | BIT(edit)
              fi;
              version = 0 }
            if
            :: told_accepted & BIT(edit) -> break
            :: else
            fi
#endif
       :: true -> break                                       /* Unresolved */
       fi;
       try++
  od
}

/* The hosts. newest_said is the greatest version that a host ever had in force,
   across restarts: any version up to it may still arrive in a datagram. owed is the
   peer's version when the host restarted, or 0. */
byte in_force[N_HOSTS], newest_said[N_HOSTS], owed[N_HOSTS];
bool is_ready[N_HOSTS], has_restarted[N_HOSTS];
bool went_down, was_behind;

inline offer(version) {                                       /* Documents.offer */
  if
#ifdef ACCEPT_OLDER
  :: true ->
#else
  :: version > in_force[me] ->
#endif
       went_down = went_down || version < in_force[me];
       in_force[me] = version;
       if
       :: version > newest_said[me] -> newest_said[me] = version
       :: else
       fi
  :: else
  fi
}

inline become_ready_by_peer() {
  was_behind = was_behind || (!is_ready[me] && in_force[me] < owed[me]);
  is_ready[me] = true
}

proctype Host(byte me) {
  byte version;
end:
  do
  :: atomic { select(version : 0 .. head);                    /* _read_all, _watch */
       offer(version); is_ready[me] = true; owed[me] = 0; version = 0 }
  :: atomic { select(version : 0 .. newest_said[1 - me]);     /* a late digest */
#ifdef READY_BY_GOSSIP
       offer(version); become_ready_by_peer();
#endif
       version = 0 }
  :: atomic { in_force[1 - me] > in_force[me] ->              /* _fetch */
       version = in_force[1 - me];
       offer(version); become_ready_by_peer(); version = 0 }
  :: atomic { !has_restarted[me] ->
       has_restarted[me] = true;
       in_force[me] = 0; is_ready[me] = false;
       owed[me] = in_force[1 - me];
       owed[1 - me] = 0 }
  od
}

/* Can take a step only when a property is violated. */
active proctype Promises() {
end:
  if
  :: stored & ~edits_at[head] -> assert(false)         /* an accepted edit is lost */
  :: told_accepted & ~stored -> assert(false)
  :: told_refused & stored -> assert(false)
  :: went_down -> assert(false)
  :: was_behind -> assert(false)
#ifdef REACH_ALL_IN_FORCE
  :: head == 2 && in_force[0] == 2 && in_force[1] == 2 &&
       is_ready[0] && is_ready[1] && has_restarted[0] -> assert(false)
#endif
#ifdef REACH_REFUSED_THEN_ACCEPTED
  :: told_refused && told_accepted -> assert(false)
#endif
  fi
}

init {
  atomic { run Operator(0); run Operator(1); run Host(0); run Host(1) }
}
