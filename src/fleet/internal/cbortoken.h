#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_CBORTOKEN_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_CBORTOKEN_H

#include <cstdint>
#include <string_view>

namespace cranberryspool::fleet {

/// The types of CBOR items that peer messages consist of.
enum class CborTokenType { None, Unsigned, Text, Bytes, Array, Boolean, Null };

/// One CBOR item; the text is valid as long as the input.
struct CborToken {
  CborTokenType Type_ = CborTokenType::None;
  /// The value of a number or boolean, or the count of an array.
  std::uint64_t Number_ = 0;
  std::string_view Text_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_CBORTOKEN_H
