#ifndef CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAMESSAGE_H
#define CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAMESSAGE_H

#include "quotas/types/quotagrant.h"
#include "quotas/types/quotarequest.h"

#include <string>
#include <variant>

namespace cranberryspool::quotas {

/// A message for another instance.
struct QuotaMessage {
  std::string Address_;
  std::variant<QuotaRequest, QuotaGrant> Content_;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TYPES_QUOTAMESSAGE_H
