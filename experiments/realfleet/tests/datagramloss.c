// Drops datagrams of the process into which it is loaded, as DATAGRAM_LOSS says:
// "SHARE DARK_SHARE IS_DEAF BEGIN SEED". A share of the datagrams that are sent is
// lost, and all in a share of the seconds since BEGIN (of the monotonic clock). A
// deaf process receives none either.
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>

static double Share, DarkShare, Begin;
static int IsDeaf;
static uint64_t Seed, Count;

__attribute__((constructor)) static void readSettings(void) {
  char Text[256] = "";
  const char *Settings = getenv("DATAGRAM_LOSS");
  if (!Settings || sscanf(Settings, "%lf %lf %d %lf %255s", &Share, &DarkShare,
                          &IsDeaf, &Begin, Text) != 5) {
    fputs("DATAGRAM_LOSS must be: SHARE DARK_SHARE IS_DEAF BEGIN SEED\n", stderr);
    abort();
  }
  Seed = 1469598103934665603u; // FNV-1a
  for (const char *Each = Text; *Each; ++Each)
    Seed = (Seed ^ (unsigned char)*Each) * 1099511628211u;
}

// Returns a number from 0 to 1 that depends on the seed and the input (splitmix64).
static double draw(uint64_t Input) {
  uint64_t Bits = Seed + (Input + 1) * 0x9e3779b97f4a7c15u;
  Bits = (Bits ^ (Bits >> 30)) * 0xbf58476d1ce4e5b9u;
  Bits = (Bits ^ (Bits >> 27)) * 0x94d049bb133111ebu;
  return (double)((Bits ^ (Bits >> 31)) >> 11) / 9007199254740992.0;
}

static int isDatagramSocket(int Socket) {
  int Type = 0;
  socklen_t Length = sizeof Type;
  return getsockopt(Socket, SOL_SOCKET, SO_TYPE, &Type, &Length) == 0 &&
         Type == SOCK_DGRAM;
}

static int isLost(int Socket) {
  if (!isDatagramSocket(Socket))
    return 0;
  struct timespec Now;
  clock_gettime(CLOCK_MONOTONIC, &Now);
  const double Elapsed = (double)Now.tv_sec + (double)Now.tv_nsec / 1e9 - Begin;
  const uint64_t Second = Elapsed > 0 ? (uint64_t)Elapsed : 0;
  const uint64_t Number = __atomic_fetch_add(&Count, 1, __ATOMIC_RELAXED);
  return draw(Second) < DarkShare || draw(Number + (1ull << 40)) < Share;
}

ssize_t sendto(int Socket, const void *Data, size_t Bytes, int Flags,
               const struct sockaddr *To, socklen_t ToLength) {
  static ssize_t (*Real)(int, const void *, size_t, int, const struct sockaddr *,
                         socklen_t);
  if (!Real)
    Real = dlsym(RTLD_NEXT, "sendto");
  return isLost(Socket) ? (ssize_t)Bytes
                        : Real(Socket, Data, Bytes, Flags, To, ToLength);
}

ssize_t sendmsg(int Socket, const struct msghdr *Message, int Flags) {
  static ssize_t (*Real)(int, const struct msghdr *, int);
  if (!Real)
    Real = dlsym(RTLD_NEXT, "sendmsg");
  if (!isLost(Socket))
    return Real(Socket, Message, Flags);
  size_t Bytes = 0;
  for (size_t Index = 0; Index < Message->msg_iovlen; ++Index)
    Bytes += Message->msg_iov[Index].iov_len;
  return (ssize_t)Bytes;
}

ssize_t recvmsg(int Socket, struct msghdr *Message, int Flags) {
  static ssize_t (*Real)(int, struct msghdr *, int);
  if (!Real)
    Real = dlsym(RTLD_NEXT, "recvmsg");
  const ssize_t Bytes = Real(Socket, Message, Flags);
  if (Bytes < 0 || !IsDeaf || !isDatagramSocket(Socket))
    return Bytes;
  errno = EAGAIN;
  return -1;
}

ssize_t recvfrom(int Socket, void *Data, size_t Capacity, int Flags,
                 struct sockaddr *From, socklen_t *FromLength) {
  static ssize_t (*Real)(int, void *, size_t, int, struct sockaddr *, socklen_t *);
  if (!Real)
    Real = dlsym(RTLD_NEXT, "recvfrom");
  const ssize_t Bytes = Real(Socket, Data, Capacity, Flags, From, FromLength);
  if (Bytes < 0 || !IsDeaf || !isDatagramSocket(Socket))
    return Bytes;
  errno = EAGAIN;
  return -1;
}
