/* C linkage of headers for the C++ tests, like G_BEGIN_DECLS of GLib. */
#ifndef DECLS_H
#define DECLS_H

#ifdef __cplusplus
#define BEGIN_DECLS                                                                                \
  extern "C"                                                                                       \
  {
#define END_DECLS }
#else
#define BEGIN_DECLS
#define END_DECLS
#endif

#endif
