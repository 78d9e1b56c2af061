/* Settings never revert, and an accepted edit is never lost.

   What stands for what:
     Authority  the platform's object of settings and its conditional update.
     Operators  commands/publishing.py, each with up to N_TRIES edits: _read_base,
                put, _resolve, _judge. Both race; each may leave at any time.
     Hosts      entry/documents.py and coordination/documents.py (Documents.offer);
                each may restart once, and pauses are steps that wait. What holds of
                a restarted one holds of each life, since it keeps nothing.

   A write may take effect at any later time, again and again, and its reply may be
   lost or late. A read may give any version that ever was: the newest, or a stale
   one. What a host says may come to another at any later time, or never.

   What holds of hosts: between two restarts the version in force never goes down. A
   restarted host starts with the file (version 0), not ready. It becomes ready upon
   an answer from the platform, as stale as reads are; or upon a peer's answer to a
   question of its present life, and then it is at least as new as that peer was when
   this host restarted, unless that peer has restarted since. (Such an answer comes
   over a connection of the present life, so the step takes it at once.) How fast an edit comes
   in force everywhere is measured, not modelled.

   Each #ifdef takes out one safeguard or, REACH_, claims that something wanted never
   happens; each must fail. */

#define N_OPERATORS 2
#define N_TRIES 2
#define N_EDITS 4                          /* N_OPERATORS * N_TRIES */
#define N_HOSTS 2
#define BIT(edit) (1 << (edit))

/* The authority: the edits that each version holds. */
byte head;
byte edits_at[5];
byte stored;                               /* edits that ever took effect */

/* The writes sent, and the replies to them. */
bool put_sent[N_EDITS], stored_said[N_EDITS], conflict_said[N_EDITS];
byte base[N_EDITS];

/* What the operators were told of their edits. */
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

/* The hosts. newest_said is the greatest version that a host ever had in force, in
   any life: any version up to it may still be on its way in a datagram. */
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

/* Can take a step only where a promise is broken. */
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
