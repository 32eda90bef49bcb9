/* A write of the assignment whose answer may be lost, a new coordinator that fences earlier writes by
 * writing the row, and the acknowledgement of the assignment. A row carries a version and the id of
 * the write that set it. Writes of host 0 (ids 1 and 2, one after the other) may arrive at any later
 * time, and more than once. */
#define SLOTS 2
byte rowVersion = 1, rowId;          /* the store */
bool everTook[4];                    /* the write with this id took effect */
byte wId[SLOTS], wExpected[SLOTS];   /* writes in flight */
byte openId, openExpected;           /* the write whose outcome host 0 does not know yet */
bool mustRead, mayWrite;
byte nextId = 1;
byte known = 1;                      /* version that host 0 expects in the store; 0: none */
bool acknowledged[4], dropped[4];
bool resent;
bool tookOver, fenced;
byte fenceExpected, seenId;

inline sendWrite(s) { wId[s] = openId; wExpected[s] = openExpected }

inline accepted(id, version) {
  acknowledged[id] = true; known = version; openId = 0; mustRead = false; mayWrite = false
}
inline conflict() {
  if
#ifndef OWN_NOT_RECOGNISED
  :: rowId == openId -> accepted(openId, rowVersion)
#endif
  :: else -> assert(rowId != openId); dropped[openId] = true; openId = 0; mustRead = false; mayWrite = false; known = 0
  fi
}

inline arrive(s, answered) {
  if
#ifdef NO_COMPARE
  :: true ->
#else
  :: rowVersion == wExpected[s] ->
#endif
     assert(!dropped[wId[s]]);
     rowVersion++; rowId = wId[s]; everTook[wId[s]] = true;
     if :: answered && openId == wId[s] -> accepted(wId[s], rowVersion) :: else fi
#ifndef NO_COMPARE
  :: else ->
     if :: answered && openId == wId[s] -> conflict() :: else fi
#endif
  fi;
  wId[s] = 0; wExpected[s] = 0
}

active proctype all() {
end:
  do
  /* Host 0 writes; while the row is unchanged, it resends the write once with the same id. */
  :: atomic { known > 0 && openId == 0 && nextId <= 2 && wId[0] == 0 ->
       openId = nextId; nextId++; openExpected = known; resent = false; sendWrite(0) }
  :: atomic { openId != 0 && mayWrite && !resent && wId[1] == 0 -> mayWrite = false; resent = true; sendWrite(1) }
  :: atomic { wId[0] != 0 -> if :: true -> arrive(0, true) :: true -> arrive(0, false) fi }
  :: atomic { wId[1] != 0 -> if :: true -> arrive(1, true) :: true -> arrive(1, false) fi }
  :: atomic { wId[0] != 0 -> wId[0] = 0; wExpected[0] = 0 }
  /* No answer in time. */
#ifdef UNKNOWN_IS_ACCEPTED
  :: atomic { openId != 0 && !mustRead && !mayWrite -> accepted(openId, openExpected + 1) }
#else
  :: atomic { openId != 0 && !mustRead && !mayWrite -> mustRead = true }
#endif
  :: atomic { openId != 0 && mustRead ->
       mustRead = false;
       if
       :: rowVersion == openExpected ->
#ifdef UNCHANGED_IS_DROPPED
          dropped[openId] = true; openId = 0
#else
          mayWrite = true
#endif
       :: else -> conflict()
       fi }
  /* Host 1 takes over: it reads the row and fences it. */
  :: atomic { !tookOver -> tookOver = true; fenceExpected = rowVersion; seenId = rowId }
#ifdef NO_FENCE
  :: atomic { tookOver && !fenced -> fenced = true }
#else
  :: atomic { tookOver && !fenced && rowVersion == fenceExpected -> fenced = true; rowVersion++ ; rowId = 3 }
  :: atomic { tookOver && !fenced && rowVersion != fenceExpected -> fenceExpected = rowVersion; seenId = rowId }
#endif
  /* An acknowledged write took effect, a dropped write never takes effect later, and a coordinator
   * that has fenced the row has seen every write that took effect. */
  :: atomic { acknowledged[1] && !everTook[1] -> assert(false) }
  :: atomic { acknowledged[2] && !everTook[2] -> assert(false) }
  :: atomic { fenced && everTook[2] && seenId != 2 -> assert(false) }
  :: atomic { fenced && everTook[1] && seenId == 0 -> assert(false) }
  od
}
