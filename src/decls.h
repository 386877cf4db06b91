/* Linkage of C headers for C++ tests, as GNOME's G_BEGIN_DECLS. */
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
