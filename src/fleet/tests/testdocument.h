#ifndef CRANBERRYSPOOL_FLEET_TESTS_TESTDOCUMENT_H
#define CRANBERRYSPOOL_FLEET_TESTS_TESTDOCUMENT_H

#include "document/types/publishedinstance.h"

#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// Returns a small valid document whose zone `lekki` is in or out.
std::string makeDocument(bool IsLekkiIn);

/// Returns targets of the document's group `quickcheck-lekki`.
std::vector<document::PublishedInstance> makeTargets(std::size_t Count);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_TESTDOCUMENT_H
