#ifndef CRANBERRYSPOOL_FRAMEWORK_UNITS_H
#define CRANBERRYSPOOL_FRAMEWORK_UNITS_H

#include "framework/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::framework {

/// Reads a whole number followed by `us`, `ms`, `s`, `m` or `h`, such as
/// `800ms`. No sign, fraction, space or leading zero; nothing otherwise.
std::optional<Duration> parseDuration(std::string_view Text);

/// Writes a duration in the largest unit that holds it exactly.
std::string durationText(Duration Value);

/// Reads a whole number of bytes followed by `B`, `KiB` or `MiB`, such as
/// `64KiB`. No sign, fraction, space or leading zero; nothing otherwise.
std::optional<std::size_t> parseSize(std::string_view Text);

/// Writes a size in the largest unit that holds it exactly.
std::string sizeText(std::size_t Bytes);

/// Reads a percentage with at most four decimals, such as `99.9%`, and returns
/// it in parts per million; nothing when malformed or above 100 %.
std::optional<std::uint32_t> parseShare(std::string_view Text);

/// Writes parts per million as a percentage without needless zeros.
std::string shareText(std::uint32_t PerMillion);

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_UNITS_H
