#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_READTEXTFILE_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_READTEXTFILE_H

#include "framework/result.h"
#include "operations/types/readfailure.h"

#include <string>
#include <string_view>

namespace cranberryspool::operations {

/// Reads a file of at most 64 MB.
framework::Result<std::string, ReadFailure>
readTextFile(const std::string &Path);

/// Returns the failure as a phrase.
std::string_view readFailureText(ReadFailure Failure);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_READTEXTFILE_H
