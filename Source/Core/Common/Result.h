#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

/// A value or the typed error of a layer. Accessing the absent one is undefined
/// behaviour, so callers check `has_value()` first.
template<class T, class E>
using result = BOOST_OUTCOME_V2_NAMESPACE::
  basic_result<T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;
