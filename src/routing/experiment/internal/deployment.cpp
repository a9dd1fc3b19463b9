#include "routing/experiment/deployment.h"

namespace cranberryspool::experiment {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::uint32_t Deployment::targets() const {
  std::uint32_t Sum = 0;
  for (const ServiceModel &Service : Services_)
    Sum += Service.Targets_;
  return Sum;
}

Deployment lagos() {
  return {"lagos",
          3,
          15,
          microseconds(100),
          microseconds(500),
          {{"ledger-read",
            15,
            6,
            milliseconds(8),
            0.3,
            seconds(2),
            {"GET", "/ledger-read/valuations/1"},
            {"GET", "/ledger-read/pieces/1"}},
           {"certdesk",
            10,
            6,
            milliseconds(20),
            0.2,
            seconds(2),
            {"GET", "/certdesk/certificates/1"},
            {"POST", "/certdesk/certificates"}},
           {"assay-pay",
            6,
            6,
            milliseconds(15),
            0.2,
            seconds(2),
            {"POST", "/assay-pay/deposits"},
            {"GET", "/assay-pay/deposits/1"}},
           {"quickcheck",
            6,
            6,
            milliseconds(6),
            0.6,
            seconds(2),
            {"POST", "/quickcheck/checks"},
            {"GET", "/quickcheck/history/1"}}}};
}

Deployment centralBelt() {
  return {"central-belt",
          3,
          15,
          microseconds(100),
          milliseconds(1),
          {{"records",
            15,
            3,
            milliseconds(8),
            0.3,
            seconds(2),
            {"GET", "/records/handsets/1"},
            {"GET", "/records/handsets?q=1"}},
           {"enrolment",
            6,
            3,
            milliseconds(30),
            0.2,
            seconds(2),
            {"GET", "/enrolment/handsets/1"},
            {"POST", "/enrolment/handsets"}},
           {"activation",
            6,
            3,
            milliseconds(25),
            0.3,
            seconds(2),
            {"POST", "/activation/lines"},
            {"GET", "/activation/lines/1"}},
           {"compliance",
            6,
            3,
            milliseconds(10),
            0.3,
            seconds(2),
            {"POST", "/compliance/checks"},
            {"GET", "/compliance/reports/1"}}}};
}

} // namespace cranberryspool::experiment
