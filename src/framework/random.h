#ifndef CRANBERRYSPOOL_FRAMEWORK_RANDOM_H
#define CRANBERRYSPOOL_FRAMEWORK_RANDOM_H

#include <boost/random/mersenne_twister.hpp>

#include <cstddef>
#include <cstdint>

namespace cranberryspool::framework {

/// A seeded source of random numbers whose sequence is the same on every
/// platform for the same seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine_(Seed) {}

  /// Returns an index in [0, Count). `Count` must be positive.
  std::size_t index(std::size_t Count);

  /// Returns a number in [0, 1).
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
