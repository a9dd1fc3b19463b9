#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_QUOTAOUTBOX_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_QUOTAOUTBOX_H

#include "framework/ids.h"
#include "quotas/types/quotagrant.h"
#include "quotas/types/quotarequest.h"

#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

namespace cranberryspool::quotas {

/// Messages to instances, this one included, before they get an address.
struct QuotaOutbox {
  struct Entry {
    framework::InstanceName To_;
    std::variant<QuotaRequest, QuotaGrant> Content_;
  };

  std::vector<Entry> Entries_;
  std::uint64_t LastSequence_ = 0;

  std::uint64_t nextSequence() { return ++LastSequence_; }
  template <typename Message>
  void send(const framework::InstanceName &To, Message Content) {
    Entries_.push_back({To, std::move(Content)});
  }
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_QUOTAOUTBOX_H
