#include "SettingsStandIn.h"
