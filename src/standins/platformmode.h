#ifndef CRANBERRYSPOOL_STANDINS_PLATFORMMODE_H
#define CRANBERRYSPOOL_STANDINS_PLATFORMMODE_H

namespace cranberryspool::standins {

/// The way in which the platform stand-in serves a published value.
enum class PlatformMode {
  /// The latest version is served.
  Up,
  /// Every read and watch is answered with status 503.
  Down,
  /// The version that was the latest when the mode was set is served.
  Stale,
  /// The version before the latest one is served, with its lower revision.
  RolledBack,
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_PLATFORMMODE_H
