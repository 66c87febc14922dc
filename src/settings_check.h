// Checks settings for values out of range and for contradictions.
#pragma once

#include "flaxdoor/decide.h"

namespace flaxdoor {

// Throws std::invalid_argument with a message that names the first setting at fault.
void check_settings(const Settings& settings);

}  // namespace flaxdoor
