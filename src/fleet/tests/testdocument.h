#ifndef CRANBERRYSPOOL_FLEET_TESTS_TESTDOCUMENT_H
#define CRANBERRYSPOOL_FLEET_TESTS_TESTDOCUMENT_H

#include "document/types/publishedinstance.h"

#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// Returns a small valid document with zone `lekki` in or out of service.
std::string makeDocument(bool IsLekkiIn);

/// Returns targets in the document's group `quickcheck-lekki`.
std::vector<document::PublishedInstance> makeTargets(std::size_t Count);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_TESTDOCUMENT_H
