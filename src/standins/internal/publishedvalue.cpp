#include "standins/publishedvalue.h"

#include <utility>

namespace cranberryspool::standins {

void PublishedValue::publish(std::string Text) {
  Versions_.push_back(Version{last().Revision_ + 1, std::move(Text)});
}

void PublishedValue::setMode(PlatformMode Mode) {
  Mode_ = Mode;
  StaleIndex_ = Versions_.size() - 1;
}

const PublishedValue::Version &PublishedValue::served() const {
  if (Mode_ == PlatformMode::Stale)
    return Versions_[StaleIndex_];
  if (Mode_ == PlatformMode::RolledBack && Versions_.size() > 1)
    return Versions_[Versions_.size() - 2];
  return Versions_.back();
}

} // namespace cranberryspool::standins
