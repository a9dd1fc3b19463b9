#include "entry/internal/notrunmark.h"

namespace cranberryspool::entry {

void markNotRun(Exchange::Response &Message, const std::string &AttemptId,
                const HttpProfile &Profile) {
  if (!Profile.NotRunField_.empty())
    Message.set(Profile.NotRunField_,
                Profile.NotRunValue_.empty() ? "1" : Profile.NotRunValue_);
  if (!Profile.AttemptIdField_.empty() && !AttemptId.empty())
    Message.set(Profile.AttemptIdField_, AttemptId);
}

} // namespace cranberryspool::entry
