// Http module: size-limited parsing and serialization of HTTP/1.1 messages, and deadlines on an Asio I/O context.
#pragma once

#include "src/Http/Address.h"
#include "src/Http/DeadlineQueue.h"
#include "src/Http/HttpHead.h"
#include "src/Http/HttpMessage.h"
#include "src/Http/HttpReader.h"
