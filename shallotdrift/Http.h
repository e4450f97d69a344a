// Http module: bounded reading and writing of HTTP/1.1 messages and deadlines on an Asio thread, shared by Callers and
// Targets.
#pragma once

#include "src/Http/Address.h"
#include "src/Http/DeadlineQueue.h"
#include "src/Http/HttpHead.h"
#include "src/Http/HttpMessage.h"
#include "src/Http/HttpReader.h"
