#include "calls/fingerprinttext.h"

#include <array>
#include <cstdio>

namespace cranberryspool::calls {

std::string toText(const RequestFingerprint &Fingerprint) {
  constexpr std::size_t Digits = 32;
  std::array<char, Digits + 1> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Fingerprint.High_),
                static_cast<unsigned long long>(Fingerprint.Low_));
  return std::string(Text.data(), Digits);
}

} // namespace cranberryspool::calls
