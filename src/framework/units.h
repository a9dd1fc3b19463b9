#ifndef CRANBERRYSPOOL_FRAMEWORK_UNITS_H
#define CRANBERRYSPOOL_FRAMEWORK_UNITS_H

#include "framework/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::framework {

/// Parses a whole number followed by `us`, `ms`, `s`, `m` or `h`, such as
/// `800ms`. Returns `nullopt` for any other text: a sign, a fraction, a space
/// and a leading zero are not accepted.
std::optional<Duration> parseDuration(std::string_view Text);

/// Formats a duration in the largest unit that represents it exactly.
std::string durationText(Duration Value);

/// Parses a whole number followed by `B`, `KiB` or `MiB`, such as `64KiB`, and
/// returns bytes. Returns `nullopt` for any other text: a sign, a fraction, a
/// space and a leading zero are not accepted.
std::optional<std::size_t> parseSize(std::string_view Text);

/// Formats a size in the largest unit that represents it exactly.
std::string sizeText(std::size_t Bytes);

/// Parses a percentage with at most four decimals, such as `99.9%`, and returns
/// it in parts per million. Returns `nullopt` when the text is malformed or the
/// value is above 100 %.
std::optional<std::uint32_t> parseShare(std::string_view Text);

/// Formats parts per million as a percentage without trailing zeros.
std::string shareText(std::uint32_t PerMillion);

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_UNITS_H
