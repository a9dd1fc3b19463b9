#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_CBORTOKEN_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_CBORTOKEN_H

#include <cstdint>
#include <string_view>

namespace cranberryspool::fleet {

/// The CBOR item types used by peer messages.
enum class CborTokenType { None, Unsigned, Text, Bytes, Array, Boolean, Null };

/// One CBOR item. `Text_` is a view into the input.
struct CborToken {
  CborTokenType Type_ = CborTokenType::None;
  /// The value of a number or boolean, or the element count of an array.
  std::uint64_t Number_ = 0;
  std::string_view Text_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_CBORTOKEN_H
