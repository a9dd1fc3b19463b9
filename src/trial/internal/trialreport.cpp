#include "trial/types/trialreport.h"

#include <algorithm>

namespace cranberryspool::trial {

bool isPromotable(const TrialReport &Report) {
  const auto IsGood = [](const KindResult &Kind) {
    return Kind.Calls_ > 0 && Kind.Failed_ == 0 && Kind.RunTwice_ == 0;
  };
  return Report.UncleanStops_ == 0 &&
         std::all_of(Report.Kinds_.begin(), Report.Kinds_.end(), IsGood);
}

} // namespace cranberryspool::trial
