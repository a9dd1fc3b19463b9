#include "framework/random.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace cranberryspool::framework {

std::size_t Random::index(std::size_t Count) {
  boost::random::uniform_int_distribution<std::size_t> Distribution(0,
                                                                    Count - 1);
  return Distribution(Engine_);
}

double Random::fraction() {
  boost::random::uniform_01<double> Distribution;
  return Distribution(Engine_);
}

double Random::exponential(double Mean) {
  boost::random::exponential_distribution<double> Distribution(1.0 / Mean);
  return Distribution(Engine_);
}

std::uint64_t Random::bits() { return Engine_(); }

} // namespace cranberryspool::framework
