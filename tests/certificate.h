// A self-signed certificate for tests.
#ifndef CERTIFICATE_H
#define CERTIFICATE_H

#include <cstdlib>
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <string>
#include <unistd.h>

// A self-signed certificate and its key in a temporary directory.
struct certificate
{
  char directory[32] = "/tmp/edges-tls-XXXXXX";
  std::string certificate_path;
  std::string key_path;

  certificate ()
  {
    EVP_PKEY *key = EVP_EC_gen ("P-256");
    X509 *made = X509_new ();
    X509_NAME *name = X509_get_subject_name (made);
    FILE *file;

    EXPECT_NE (mkdtemp (directory), nullptr);
    certificate_path = std::string (directory) + "/certificate";
    key_path = std::string (directory) + "/key";
    X509_set_version (made, 2);
    ASN1_INTEGER_set (X509_get_serialNumber (made), 1);
    X509_gmtime_adj (X509_getm_notBefore (made), -3600);
    X509_gmtime_adj (X509_getm_notAfter (made), 86400);
    X509_NAME_add_entry_by_txt (name, "CN", MBSTRING_ASC,
                                reinterpret_cast<const unsigned char *> ("host"), -1, -1, 0);
    X509_set_issuer_name (made, name);
    X509_set_pubkey (made, key);
    X509_sign (made, key, EVP_sha256 ());
    file = fopen (certificate_path.c_str (), "w");
    PEM_write_X509 (file, made);
    fclose (file);
    file = fopen (key_path.c_str (), "w");
    PEM_write_PrivateKey (file, key, nullptr, nullptr, 0, nullptr, nullptr);
    fclose (file);
    X509_free (made);
    EVP_PKEY_free (key);
  }

  certificate (const certificate &) = delete;

  ~certificate ()
  {
    unlink (certificate_path.c_str ());
    unlink (key_path.c_str ());
    rmdir (directory);
  }
};

#endif
