// Checks that settings do not contradict themselves.
#pragma once

#include "flaxdoor/decide.h"

namespace flaxdoor {

// Throws std::invalid_argument, naming the setting that is at fault.
void check_settings(const Settings& settings);

}  // namespace flaxdoor
