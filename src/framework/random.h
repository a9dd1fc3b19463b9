#ifndef CRANBERRYSPOOL_FRAMEWORK_RANDOM_H
#define CRANBERRYSPOOL_FRAMEWORK_RANDOM_H

#include <boost/random/mersenne_twister.hpp>

#include <cstddef>
#include <cstdint>

namespace cranberryspool::framework {

/// A pseudorandom number generator that gives the same sequence for the same
/// seed on every platform.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine_(Seed) {}

  /// Returns a uniformly distributed index in [0, Count). `Count` must be
  /// positive.
  std::size_t index(std::size_t Count);

  /// Returns a uniformly distributed number in [0, 1).
  double fraction();

  /// Returns a sample of the exponential distribution with the given mean.
  double exponential(double Mean);

  /// Returns 64 random bits.
  std::uint64_t bits();

private:
  boost::random::mt19937_64 Engine_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RANDOM_H
