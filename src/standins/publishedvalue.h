#ifndef CRANBERRYSPOOL_STANDINS_PUBLISHEDVALUE_H
#define CRANBERRYSPOOL_STANDINS_PUBLISHEDVALUE_H

#include "standins/platformmode.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// A value that the platform publishes, with its versions and the mode in which
/// they are served.
class PublishedValue {
public:
  struct Version {
    std::uint64_t Revision_ = 0;
    std::string Text_;
  };

  /// Publishes a new version, whose revision is one above that of the last
  /// version.
  void publish(std::string Text);

  void setMode(PlatformMode Mode);
  PlatformMode mode() const { return Mode_; }

  /// Returns the version that readers get in the current mode.
  const Version &served() const;

  /// Returns the version that was published most recently.
  const Version &last() const { return Versions_.back(); }

private:
  std::vector<Version> Versions_ = {Version{}};
  PlatformMode Mode_ = PlatformMode::Up;
  std::size_t StaleIndex_ = 0;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_PUBLISHEDVALUE_H
