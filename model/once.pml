/* One ticket: its request runs at most once, and "not run" stays true once reported.

   The processes and the code in coordination/ that they model:
     Issuer   the only process that may run the request: Issuer.begin, record, end,
              ask, hand_over. It may pause between any two steps, or crash.
     Witness  Witness.open, start, void, end, close. It may drop a record or an
              issuer (_drop_oldest, _drop_issuer), or crash and restart without state.
     Hosts    any number of entry hosts with their callers, which retry any number of
              times: resolve_by_issuer, resolve_by_witness. They are stateless.
     Backend  counts the runs. It may run or shed the request, or crash before or
              after the run.

   Messages form a set that only grows: each message sent may be received at any later
   time, any number of times, in any order, or never. This covers loss, delay,
   duplication and reordering. The exception is a request on a connection to the
   backend, which is received once or never.

   Other tickets of the same issuer are modelled only by their effect on the witness's
   floor, which may rise above this ticket at any time: "another ticket is dropped".

   Each #ifdef removes one safeguard, and the check of that variant must fail. Each
   REACH_ variant asserts that an outcome is never reported and must fail, too:
   otherwise the properties might hold because nothing happens. */

#define NOTHING  0
#define ANSWERED 1
#define NOT_RUN  2
#define UNKNOWN  3

mtype = { unused, recording, running, ended };
mtype = { no_record, started, voided };

byte runs;                  /* counted by the backend */
bool told[4];               /* outcomes reported to some caller */
bool issuer_dead;

/* The messages sent so far. */
bool start_sent, ack_sent, void_sent, forgotten_sent;
bool end_sent[4], close_sent;
bool void_asked, voided_said, forgotten_said, started_said[4];
bool issuer_said[4];
byte n_sent, n_handled;     /* requests to the backend */
bool backend_said[4];

inline keep(new) { state = ended; outcome = new; end_sent[new] = true }

proctype Issuer() {
  mtype state = unused;
  byte outcome = NOTHING;
  bool is_sent, is_closed;
end:
  do
  :: atomic { state == unused && !is_closed -> /* begin */
#ifdef NO_ACK_AWAITED
       state = running;
#else
       state = recording;
#endif
       start_sent = true }
  :: atomic { state == recording && ack_sent -> state = running }      /* record */
  :: atomic { state == recording && (void_sent || forgotten_sent) -> keep(NOT_RUN) }
  :: atomic { state == recording -> keep(NOT_RUN) }         /* record(WitnessLost) */
#ifdef RUN_AFTER_GIVING_UP
  :: atomic { state == ended && outcome == NOT_RUN && !is_sent && ack_sent ->
       state = running }
#endif
#ifdef RUN_ON_EACH_ACK
  :: atomic { state == running && is_sent && ack_sent && n_sent < 2 ->
       is_sent = false }
#endif
  :: atomic { state == running && !is_sent -> is_sent = true; n_sent++ }
  :: atomic { state == running && !is_sent -> keep(NOT_RUN) }     /* no byte sent */
  :: atomic { state == running && backend_said[ANSWERED] -> keep(ANSWERED) }
  :: atomic { state == running && backend_said[NOT_RUN] -> keep(NOT_RUN) }
  :: atomic { state == running && is_sent -> keep(UNKNOWN) }      /* no answer yet */
  :: atomic { outcome == UNKNOWN && backend_said[ANSWERED] -> keep(ANSWERED) }
  :: atomic { outcome == UNKNOWN && backend_said[NOT_RUN] -> keep(NOT_RUN) }
  :: atomic { state == ended -> issuer_said[outcome] = true }  /* begin again, ask */
  :: atomic { !is_closed ->                                         /* hand_over */
       is_closed = true;
       close_sent = true;
       if
       :: state == recording -> keep(NOT_RUN)
       :: else
       fi }
  :: atomic { state == unused && is_closed -> keep(NOT_RUN) }   /* begin, closed */
  :: atomic { true -> issuer_dead = true; break }
  od
}

active proctype Backend() {
end:
  do
  :: atomic { n_handled < n_sent -> n_handled++;
       if
       :: runs++; backend_said[ANSWERED] = true
       :: runs++                                 /* crash, or answer lost */
       :: backend_said[NOT_RUN] = true                                   /* sheds */
       :: skip                                              /* crash before the run */
       fi }
  od
}

#ifdef NO_INCARNATION_CHECK
#define IS_NAMED true
#else
#define IS_NAMED (!is_restarted)
#endif

inline clear() {
  record = no_record; outcome = NOTHING;
  is_known = false; is_floored = false; is_closed = false
}

inline hold(new) {
  if
  :: !IS_NAMED || !is_known || record == voided -> skip
  :: IS_NAMED && is_known && record == started ->
       if
       :: outcome == NOTHING || outcome == UNKNOWN -> outcome = new
       :: else
       fi
  :: IS_NAMED && is_known && record == no_record ->
       if
       :: !is_floored -> record = started; outcome = new
       :: else
       fi
  fi
}

proctype Witness() {
  mtype record = no_record;
  byte outcome = NOTHING;
  bool is_restarted, is_known, is_dropped, is_floored, is_closed;
end:
  do
  :: atomic { IS_NAMED && !is_known && !is_dropped -> is_known = true }    /* open */
  :: atomic { start_sent ->                                               /* start */
       if
       :: !IS_NAMED || !is_known -> forgotten_sent = true
       :: else ->
            if
            :: record == started -> ack_sent = true
            :: record == voided -> void_sent = true
            :: record == no_record && is_floored -> forgotten_sent = true
            :: record == no_record && !is_floored && is_closed -> void_sent = true
            :: else -> record = started; ack_sent = true
            fi
       fi }
  :: atomic { void_asked ->                                                /* void */
       if
       :: !IS_NAMED || !is_known -> forgotten_said = true
       :: else ->
            if
#ifdef VOID_AFTER_STARTED
            :: record == started && outcome == NOTHING ->
                 record = voided; voided_said = true
#else
            :: record == started -> started_said[outcome] = true
#endif
            :: record == voided -> voided_said = true
#ifdef CLOSED_BEFORE_FLOOR
            :: record == no_record && is_closed -> voided_said = true
#endif
            :: record == no_record && is_floored -> forgotten_said = true
            :: record == no_record && !is_floored && is_closed -> voided_said = true
            :: else -> record = voided; voided_said = true
            fi
       fi }
  :: atomic { end_sent[ANSWERED] -> hold(ANSWERED) }                        /* end */
  :: atomic { end_sent[NOT_RUN] -> hold(NOT_RUN) }
  :: atomic { end_sent[UNKNOWN] -> hold(UNKNOWN) }
  :: atomic { close_sent && IS_NAMED && is_known -> is_closed = true }    /* close */
  :: atomic { record != no_record ->                               /* _drop_oldest */
       record = no_record; outcome = NOTHING;
#ifndef NO_FLOOR
       is_floored = true
#endif
     }
  :: atomic { is_known -> is_floored = true }         /* another ticket is dropped */
  :: atomic { is_known ->                                          /* _drop_issuer */
       clear();
#ifndef REOPEN_AFTER_DROP
       is_dropped = true
#endif
     }
  :: atomic { !is_restarted -> clear(); is_dropped = false; is_restarted = true }
  od
}

active proctype Hosts() {
end:
  do
  :: void_asked = true                                 /* no answer from the issuer */
  :: issuer_said[ANSWERED] -> told[ANSWERED] = true
  :: issuer_said[NOT_RUN] -> told[NOT_RUN] = true
  :: issuer_said[UNKNOWN] -> told[UNKNOWN] = true
  :: voided_said -> told[NOT_RUN] = true
  :: started_said[NOTHING] -> told[UNKNOWN] = true
  :: started_said[ANSWERED] -> told[ANSWERED] = true
  :: started_said[NOT_RUN] -> told[NOT_RUN] = true
  :: started_said[UNKNOWN] -> told[UNKNOWN] = true
  :: forgotten_said -> told[UNKNOWN] = true
  od
}

/* Can take a step only when a property is violated. */
active proctype Promises() {
end:
  if
  :: runs > 1 -> assert(false)
  :: told[NOT_RUN] && runs > 0 -> assert(false)
  :: told[ANSWERED] && runs != 1 -> assert(false)
#ifdef REACH_NOT_RUN_BY_WITNESS
  :: voided_said && told[NOT_RUN] && issuer_dead -> assert(false)
#endif
#ifdef REACH_ANSWERED_BY_WITNESS
  :: started_said[ANSWERED] && told[ANSWERED] && !issuer_said[ANSWERED] -> assert(false)
#endif
#ifdef REACH_UNKNOWN_THEN_ANSWERED
  :: told[UNKNOWN] && told[ANSWERED] -> assert(false)
#endif
  fi
}

init {
  atomic {
    run Witness();
    run Issuer();
#ifdef ANY_HOST_MAY_RUN
    run Issuer();
#endif
  }
}
