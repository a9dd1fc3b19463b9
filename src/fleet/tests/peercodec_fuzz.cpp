// Any datagram is either rejected or decoded to a message that encodes and
// decodes to itself.

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
