/* Versions of the operators' table, with two editors and three hosts. Hosts learn versions from the
 * store and from each other through messages that may be delayed. Hosts may restart. */
#define VERSIONS 3
#define NOBODY 9
byte stored = 1;               /* version in the store */
byte author[5];                /* editor that wrote each version, plus 1; 0: none */
byte based[2];                 /* version that the editor's edit is based on; 0: not editing */
byte told[2];                  /* version reported to the editor as accepted; 0: none */
byte force[3] = 1;             /* version in effect on a host */
byte top[3] = 1;               /* highest version in effect since the host started */
byte fromStore, storeTo = NOBODY;
byte fromPeer, peerTo = NOBODY;
byte restarts;

#ifdef TAKE_ANY
#define NEWER(h, v) (true)
#else
#define NEWER(h, v) ((v) > force[h])
#endif
inline take(h, v) {
  if :: NEWER(h, v) -> force[h] = v :: else fi;
  if :: force[h] > top[h] -> top[h] = force[h] :: else fi
}
#define HOST(h) \
  :: atomic { storeTo == NOBODY -> fromStore = stored; storeTo = h } \
  :: atomic { storeTo == h -> take(h, fromStore); storeTo = NOBODY; fromStore = 0 } \
  :: atomic { peerTo == NOBODY -> fromPeer = force[h]; peerTo = (h + 1) % 3 } \
  :: atomic { peerTo == NOBODY -> fromPeer = force[h]; peerTo = (h + 2) % 3 } \
  :: atomic { peerTo == h -> take(h, fromPeer); peerTo = NOBODY; fromPeer = 0 } \
  :: atomic { restarts < 1 -> restarts++; force[h] = 0; top[h] = 0 } \
  :: atomic { force[h] < top[h] -> assert(false) } \
  :: atomic { force[h] > stored -> assert(false) }
#ifdef NO_BASE
#define WINS(e) (true)
#else
#define WINS(e) (based[e] == stored)
#endif
#define EDITOR(e) \
  :: atomic { based[e] == 0 && told[e] == 0 && stored < VERSIONS -> based[e] = stored } \
  :: atomic { based[e] != 0 && WINS(e) -> stored = based[e] + 1; author[stored] = e + 1; told[e] = stored; based[e] = 0 } \
  :: atomic { based[e] != 0 && !WINS(e) -> based[e] = 0 } \
  :: atomic { told[e] != 0 && author[told[e]] != e + 1 -> assert(false) }

active proctype all() {
end:
  do
  HOST(0)
  HOST(1)
  HOST(2)
  EDITOR(0)
  EDITOR(1)
  od
}
