#ifndef CRANBERRYSPOOL_ENTRY_FRAMINGLIMIT_H
#define CRANBERRYSPOOL_ENTRY_FRAMINGLIMIT_H

#include <cstddef>

namespace cranberryspool::entry {

/// Limits the bytes of an HTTP message besides its body: interim responses,
/// chunk headers and trailers. They may be as many as those of the body and
/// of one head together, so that the time spent on a message is bounded by its
/// size limits whatever its sender writes.
class FramingLimit {
public:
  FramingLimit() = default;
  explicit FramingLimit(std::size_t HeadBytes) : HeadBytes_(HeadBytes) {}

  /// Adds bytes that the parser has consumed, body bytes among them.
  void add(std::size_t ConsumedBytes) { ConsumedBytes_ += ConsumedBytes; }

  bool isExceeded(std::size_t BodyBytes) const {
    return ConsumedBytes_ > HeadBytes_ + 2 * BodyBytes;
  }

private:
  std::size_t HeadBytes_ = 0;
  std::size_t ConsumedBytes_ = 0;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_FRAMINGLIMIT_H
