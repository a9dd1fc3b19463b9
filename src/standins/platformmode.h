#ifndef CRANBERRYSPOOL_STANDINS_PLATFORMMODE_H
#define CRANBERRYSPOOL_STANDINS_PLATFORMMODE_H

namespace cranberryspool::standins {

/// How a published value is served at present.
enum class PlatformMode {
  Up,
  /// Every read and watch is answered with 503.
  Down,
  /// The value stays as it was when the mode was set.
  Stale,
  /// The value before the last one is served, with its lower revision.
  Back,
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_PLATFORMMODE_H
