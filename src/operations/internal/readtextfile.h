#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_READTEXTFILE_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_READTEXTFILE_H

#include "framework/result.h"
#include "operations/types/readfailure.h"

#include <string>
#include <string_view>

namespace cranberryspool::operations {

/// Returns the contents of a file of at most 64 MB.
framework::Result<std::string, ReadFailure>
readTextFile(const std::string &Path);

/// Returns an error message for the failure, without its subject.
std::string_view readFailureText(ReadFailure Failure);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_READTEXTFILE_H
