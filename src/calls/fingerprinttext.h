#ifndef CRANBERRYSPOOL_CALLS_FINGERPRINTTEXT_H
#define CRANBERRYSPOOL_CALLS_FINGERPRINTTEXT_H

#include "calls/types/requestfingerprint.h"

#include <string>

namespace cranberryspool::calls {

/// Returns the fingerprint as 32 hexadecimal digits, as in the log.
std::string toText(const RequestFingerprint &Fingerprint);

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_FINGERPRINTTEXT_H
