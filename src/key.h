/**
 * @file key.h
 * Team keys. A key is shown once, when it is given: "mlk_<id>_<secret>". Only its hash is kept.
 */
#ifndef KEY_H
#define KEY_H

#include "conf.h"

/** Room for a key's text. */
#define KEY_TEXT_SIZE 96

/** Make a new key of @a team. @param text gets the key itself, in KEY_TEXT_SIZE bytes */
void key_create(const char *team, struct conf_key *key, char *text);
/** The id inside a key's text. @return false when the text is no key. */
bool key_id(const char *text, char *id, size_t size);
/** The entry of a key that was made elsewhere and carries no id: its id comes from its hash. */
void key_from_text(const char *text, const char *team, struct conf_key *key);
/** BLAKE2b of the whole text. */
void key_hash(const char *text, unsigned char hash[KEY_HASH_SIZE]);
/** Compare in constant time. */
bool key_hash_equal(const unsigned char a[KEY_HASH_SIZE], const unsigned char b[KEY_HASH_SIZE]);

#endif
