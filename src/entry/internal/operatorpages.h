#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORPAGES_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORPAGES_H

#include "entry/entrysettings.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/mailboxes.h"
#include "entry/types/serviceanswer.h"
#include "entry/types/servicequestion.h"

namespace cranberryspool::entry {

/// The pages of the operator port: `/healthz`, `/readyz`, `/status` and
/// `/metrics`. Runs on the operator duty, which may block.
class OperatorPages {
public:
  OperatorPages(const EntrySettings &Settings, Mailboxes &Rings,
                InstanceState &Shared);

  ServiceAnswer answer(const ServiceQuestion &Question) const;

private:
  ServiceAnswer health() const;
  ServiceAnswer readiness() const;
  ServiceAnswer status() const;
  ServiceAnswer metrics() const;

  const EntrySettings Settings_;
  Mailboxes &Rings_;
  InstanceState &Shared_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORPAGES_H
