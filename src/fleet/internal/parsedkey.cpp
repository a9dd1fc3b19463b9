#include "fleet/internal/parsedkey.h"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <cstdint>
#include <exception>

namespace cranberryspool::fleet {

namespace {

constexpr std::size_t UuidTextLength = 36;
constexpr unsigned UuidVersion = 7;
constexpr std::size_t TimestampBytes = 6;

std::optional<boost::uuids::uuid> parseUuid(const std::string &Text) {
  if (Text.size() != UuidTextLength)
    return std::nullopt;
  try {
    return boost::uuids::string_generator()(Text);
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::optional<ParsedKey> parseKey(const framework::IdempotencyKey &Key) {
  const auto Uuid = parseUuid(Key.value());
  if (!Uuid || Uuid->variant() != boost::uuids::uuid::variant_rfc_4122)
    return std::nullopt;
  if (Uuid->data[TimestampBytes] >> 4 != UuidVersion)
    return std::nullopt;
  std::int64_t Milliseconds = 0;
  for (std::size_t Index = 0; Index < TimestampBytes; ++Index)
    Milliseconds = Milliseconds << 8 | Uuid->data[Index];
  return ParsedKey{
      framework::IdempotencyKey(boost::uuids::to_string(*Uuid)),
      framework::WallTime(std::chrono::milliseconds(Milliseconds))};
}

} // namespace cranberryspool::fleet
