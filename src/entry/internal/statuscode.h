#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_STATUSCODE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_STATUSCODE_H

namespace cranberryspool::entry {

/// Returns true for a status code of HTTP, from 100 to 599 (RFC 9110, 15).
constexpr bool isStatusCode(unsigned Status) {
  return Status >= 100 && Status <= 599;
}

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_STATUSCODE_H
