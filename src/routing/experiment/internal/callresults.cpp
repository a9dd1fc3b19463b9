#include "routing/experiment/callresults.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::experiment {

framework::Duration CallResults::quantile(double Share) const {
  if (Latencies_.empty())
    return framework::Duration::zero();
  auto Sorted = Latencies_;
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  const auto Quantile = Sorted.begin() + (std::max<std::size_t>(Rank, 1) - 1);
  std::nth_element(Sorted.begin(), Quantile, Sorted.end());
  return *Quantile;
}

} // namespace cranberryspool::experiment
