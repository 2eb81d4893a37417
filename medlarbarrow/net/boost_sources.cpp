// Compiles the functions of Boost.Asio and Boost.Beast, once for all files.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
