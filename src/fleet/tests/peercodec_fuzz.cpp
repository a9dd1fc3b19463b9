// Any datagram is either refused or read to a message that survives another
// round through the codec.

#include "fleet/peercodec.h"

#include <cstdint>
#include <cstdlib>

using namespace cranberryspool::fleet;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto First = decodePeerMessage({Data, Size});
  if (!First)
    return 0;
  const auto Bytes = encodePeerMessage(First.value());
  const auto Second = decodePeerMessage(Bytes);
  if (!Second || encodePeerMessage(Second.value()) != Bytes)
    std::abort();
  return 0;
}
