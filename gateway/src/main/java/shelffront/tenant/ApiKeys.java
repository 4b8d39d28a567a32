package shelffront.tenant;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;

/**
 * Generates and verifies the keys of clients and administrators. A key has 256 random bits and is
 * shown once; only its hash is stored. A key of this size cannot be guessed, so one round of
 * SHA-256 suffices and takes the event loop only microseconds. Any thread may call.
 */
public final class ApiKeys {

  private static final int BYTES = 32;
  private static final SecureRandom RANDOM = new SecureRandom();

  private ApiKeys() {}

  /** Returns a new key in URL-safe Base64 without padding. */
  public static String generate() {
    byte[] bytes = new byte[BYTES];
    RANDOM.nextBytes(bytes);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  /** Returns the SHA-256 hash under which a key is stored. */
  public static byte[] hash(byte[] key) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(key);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, although every Java platform must provide it", e);
    }
  }

  /** Returns the hash of the UTF-8 bytes of a key. */
  public static byte[] hash(String key) {
    return hash(key.getBytes(UTF_8));
  }

  /** Whether a key has this hash. The comparison takes constant time. */
  public static boolean matches(byte[] hash, byte[] key) {
    return MessageDigest.isEqual(hash, hash(key));
  }
}
