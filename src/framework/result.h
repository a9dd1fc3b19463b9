#ifndef CRANBERRYSPOOL_FRAMEWORK_RESULT_H
#define CRANBERRYSPOOL_FRAMEWORK_RESULT_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace cranberryspool::framework {

/// The value of an operation that may fail, or a typed description of the
/// failure. Accessing the alternative that is absent terminates the process.
template <typename Value, typename Failure>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    Value, Failure, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RESULT_H
