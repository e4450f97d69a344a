// Peers module: messages between entry instances, and the gate and view lease rules that rest on them.
#pragma once

#include "src/Peers/Gate.h"
#include "src/Peers/PeerBus.h"
#include "src/Peers/ViewLeaseHolder.h"
