#ifndef CORE_RESULT_H_
#define CORE_RESULT_H_

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace comfreyshift {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// A value of type T or an error of type E, the error type of one library.
// Reading the side that is not there terminates the process.
template <class T, class E>
using Result = outcome::basic_result<T, E, outcome::policy::terminate>;

}  // namespace comfreyshift

#endif  // CORE_RESULT_H_
