/* In no window more permits than the limit and the reserve.

   Two hosts and one customer: host 0 ranks first, host 1 second. Modelled are the rules
   of coordination/limits: hosts.py (who is first, settled, proven, the share of a side)
   and counting.py (roles, buckets, the reserve, the handover). Each may be asked for
   all of its permits in any tick, or for none.

   Failures, each once: the link is cut and restored; host 0 is killed (its port then
   refuses connections) and started again; host 0 is frozen and resumed.

   A window is two ticks. A host sees the loss or the return of the other after one or
   two ticks. Each host settles for SETTLE ticks after it has seen a loss: the difference
   between the two sides' detection, and one window. The bucket holds BURST and gets
   RATE a tick, so it grants at most BURST + RATE in a window.

   Each #ifdef removes one safeguard or, as REACH_, asserts that an expected event never
   happens; the check of each variant must fail. */

#define BURST 8
#define RATE 4
#define RESERVE 4
#define FIRST_PART 1
#define SECOND_PART 2
#define BOUND 16                           /* BURST + RATE + RESERVE */
#define LAST_TICK 12
#ifdef NO_SETTLING
#define SETTLE 0
#else
#define SETTLE 3
#endif
#define NEVER 9

mtype = { up, dead, frozen };
mtype state = up;                          /* of host 0 */
bool is_cut, was_cut, was_dead, was_frozen;
byte tick;

/* Host 0: whether it is sure to count alone, for how long not, whether it has seen
   host 1 since its start, and how long ago it saw the loss and the return of host 1. */
bool sure = true, has_met = true, sees_1 = true, shares;
byte unsure_for, apart_0, back_for;

/* Host 1: whether it sees host 0, since when not, and whether its end is proven. */
bool sees_0 = true, proven, counts_1;
byte apart_1, lost_for;

byte tokens[2], used_now[2], used_before[2], granted_now, granted_before;
bool handed_over, shared_cut;

#define REACHES (state == up && !is_cut)

inline fail() {
  if
  :: !is_cut && !was_cut -> is_cut = true; was_cut = true
  :: is_cut -> is_cut = false
  :: state == up && !was_dead -> state = dead; was_dead = true
  :: state == up && !was_frozen -> state = frozen; was_frozen = true
  :: state == dead -> state = up; tokens[0] = 0; sees_1 = false; apart_0 = 0;
       used_now[0] = FIRST_PART;           /* the process before may have used it */
       has_met = false; shares = false; unsure_for = 0;
#ifdef START_WITHOUT_ASKING
       sure = true
#else
       sure = false
#endif
  :: state == frozen -> state = up; unsure_for = 0;
#ifdef RESUME_WITHOUT_ASKING
       sure = true
#else
       sure = false
#endif
  :: true
  fi
}

/* Membership: a change is seen after one or two ticks, one way or the other. */
inline notice() {
  if
  :: REACHES == sees_0 -> apart_1 = 0
  :: REACHES != sees_0 ->
       if
       :: apart_1 == 0 -> apart_1 = 1
       :: apart_1 == 1 -> apart_1 = 2
       :: apart_1 >= 1 -> sees_0 = !sees_0; apart_1 = 0; lost_for = 0
       fi
  fi;
  if
  :: apart_1 == 2 && REACHES != sees_0 -> sees_0 = !sees_0; apart_1 = 0; lost_for = 0
  :: else
  fi;
  if
  :: sees_0 -> proven = false
  :: !sees_0 && state == dead && !is_cut -> proven = true
  :: else
  fi;
  if
  :: state != up || REACHES == sees_1 -> apart_0 = 0
  :: state == up && REACHES != sees_1 ->
       apart_0++;
       if
       :: apart_0 == 3 || (apart_0 == 2) -> sees_1 = !sees_1; apart_0 = 0;
            back_for = 0; has_met = has_met || sees_1
       :: apart_0 < 3
       fi
  fi
}

inline hand_over() {                       /* Counting.hand_over and accept */
  sees_0 = true; apart_1 = 0; proven = false; sees_1 = true; has_met = true;
  if
  :: counts_1 -> tokens[0] = tokens[1]; handed_over = true
  :: !counts_1                             /* a stalled host keeps its own bucket */
  fi;
  counts_1 = false; tokens[1] = 0; sure = true; shares = false
}

inline decide_roles() {
  /* Host 0 counts for its side only: until host 1 has been back for the settling time
     or has handed over, and also if it has started and host 1 never answered. */
  if
  :: state == up && (!sees_1 || !has_met) -> shares = true; back_for = 0
  :: state == up && sees_1 && shares && back_for >= SETTLE -> shares = false
  :: else
  fi;
  if
  :: state == up && (!sure || shares) && REACHES && sees_1 -> hand_over()
#ifdef COUNT_BEFORE_MEETING
  :: state == up && !sure && unsure_for >= SETTLE && !REACHES -> sure = true
#else
  :: state == up && !sure && unsure_for >= SETTLE && !REACHES && has_met -> sure = true
#endif
  :: else
  fi;
  if
  :: sees_0 -> counts_1 = false
  :: !sees_0 && !counts_1 && (proven || lost_for >= SETTLE) ->
       counts_1 = true;
#ifdef START_FULL
       tokens[1] = BURST
#else
       tokens[1] = 0
#endif
  :: else
  fi;
  shared_cut = shared_cut || (state == up && sure && shares && counts_1)
}

inline refill(me, is_half) {
#ifdef FULL_ON_BOTH_SIDES
  tokens[me] = (tokens[me] + RATE > BURST -> BURST : tokens[me] + RATE)
#else
  tokens[me] = tokens[me] + (is_half -> RATE / 2 : RATE);
  tokens[me] = (is_half && tokens[me] > BURST / 2 -> BURST / 2 : tokens[me]);
  tokens[me] = (tokens[me] > BURST -> BURST : tokens[me])
#endif
}

inline grant(me, in_full, part) {
  if
  :: in_full -> granted_now = granted_now + tokens[me]; tokens[me] = 0
  :: true                                  /* not asked */
  :: !in_full && used_now[me] + used_before[me] < part ->
       granted_now = granted_now + part - used_now[me] - used_before[me];
       used_now[me] = part - used_before[me]
  fi
}

active proctype Ticks() {
  tokens[0] = BURST;
  do
  :: tick < LAST_TICK ->
       atomic {
         fail(); notice(); decide_roles();
         if
         :: state == up && sure -> refill(0, shares)
         :: else
         fi;
         if
         :: counts_1 -> refill(1, !proven)
         :: else
         fi;
         if
         :: state == up -> grant(0, sure, FIRST_PART)
         :: else
         fi;
         grant(1, counts_1, SECOND_PART);
         assert(granted_now + granted_before <= BOUND);
#ifdef REACH_HANDOVER
         assert(!handed_over);
#endif
#ifdef REACH_BOTH_SIDES_COUNT
         assert(!shared_cut);
#endif
         granted_before = granted_now; granted_now = 0;
         used_before[0] = used_now[0]; used_now[0] = 0;
         used_before[1] = used_now[1]; used_now[1] = 0;
         lost_for = (lost_for < NEVER -> lost_for + 1 : NEVER);
         back_for = (back_for < NEVER -> back_for + 1 : NEVER);
         unsure_for = (unsure_for < NEVER -> unsure_for + 1 : NEVER);
         tick++ }
  :: tick == LAST_TICK -> break
  od
}
