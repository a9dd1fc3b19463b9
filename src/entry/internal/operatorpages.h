#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORPAGES_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORPAGES_H

#include "entry/entrysettings.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/workermailboxes.h"
#include "entry/types/servicerequest.h"
#include "entry/types/serviceresponse.h"

namespace cranberryspool::entry {

/// The pages of the operator endpoint: `/healthz`, `/readyz`, `/status` and
/// `/metrics`. Used on the workers that serve them, which may block.
class OperatorPages {
public:
  OperatorPages(const EntrySettings &Settings, WorkerMailboxes &Mailboxes,
                InstanceState &State);

  ServiceResponse handle(const ServiceRequest &Request) const;

private:
  ServiceResponse health() const;
  ServiceResponse readiness() const;
  ServiceResponse status() const;
  ServiceResponse metrics() const;

  const EntrySettings Settings_;
  WorkerMailboxes &Mailboxes_;
  InstanceState &State_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_OPERATORPAGES_H
