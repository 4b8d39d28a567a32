package shelffront.admin;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HexFormat;
import java.util.function.LongSupplier;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Entry;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.ApiKeys;
import shelffront.tenant.TenantSpecCodec;

/**
 * Issues and checks the tokens of administrators. A token is {@code name.secret}; the secret is
 * random, returned once and stored only as a hash. After a rotation the previous secrets stay valid
 * for an overlap period. Any thread may call.
 */
public final class AdminTokens {

  /** Longer tokens are rejected without a lookup. */
  private static final int MAX_TOKEN_LENGTH = 128;

  private static final byte[] DUMMY_HASH = new byte[32];

  /** The caller of a request: an operator (null tenant), or the administrator of one tenant. */
  public record Caller(String token, String tenant) {

    boolean isOperator() {
      return tenant == null;
    }

    /** Whether the caller may learn that the tenant exists. */
    boolean maySee(String id) {
      return tenant == null || tenant.equals(id);
    }
  }

  private final DocumentStore store;
  private final LongSupplier clock;

  /** Creates an issuer over a store; the clock returns Unix time in milliseconds. */
  public AdminTokens(DocumentStore store, LongSupplier clock) {
    this.store = store;
    this.clock = clock;
  }

  /**
   * Creates a token for an operator (null tenant) or for the administrator of a tenant. The token
   * cannot be read again later.
   */
  public String create(String tenant, String actor) throws ConflictException {
    byte[] random = ApiKeys.hash(ApiKeys.generate());
    String name = HexFormat.of().formatHex(random, 0, 8);
    String secret = ApiKeys.generate();
    ObjectNode document = TenantSpecCodec.JSON.createObjectNode().put("tenant", tenant);
    addHash(document.putArray("hashes"), secret);
    store.put(Kind.TOKEN, name, 0, document, actor, "create token", clock.getAsLong());
    return name + "." + secret;
  }

  /**
   * Returns the token with a new secret, or null if there is no such token. Previous secrets stay
   * valid for the overlap, but never longer than an earlier rotation allowed.
   */
  public String rotate(String name, long overlapMillis, String actor) throws ConflictException {
    Entry entry = store.get(Kind.TOKEN, name);
    if (entry == null) {
      return null;
    }
    long nowMillis = clock.getAsLong();
    String secret = ApiKeys.generate();
    ObjectNode document = entry.document().deepCopy();
    ArrayNode hashes = TenantSpecCodec.JSON.createArrayNode();
    addHash(hashes, secret);
    for (JsonNode hash : entry.document().path("hashes")) {
      long untilMillis =
          Math.min(hash.path("until").asLong(Long.MAX_VALUE), nowMillis + overlapMillis);
      if (untilMillis > nowMillis) {
        hashes.add(((ObjectNode) hash.deepCopy()).put("until", untilMillis));
      }
    }
    document.set("hashes", hashes);
    store.put(Kind.TOKEN, name, entry.revision(), document, actor, "rotate token", nowMillis);
    return name + "." + secret;
  }

  /** Revokes a token with all of its secrets. Returns false if there is no such token. */
  public boolean revoke(String name, String actor) throws ConflictException {
    Entry entry = store.get(Kind.TOKEN, name);
    if (entry != null) {
      store.put(Kind.TOKEN, name, entry.revision(), null, actor, "revoke token", clock.getAsLong());
    }
    return entry != null;
  }

  private static void addHash(ArrayNode hashes, String secret) {
    hashes.addObject().put("sha256", HexFormat.of().formatHex(ApiKeys.hash(secret)));
  }

  /** Returns the caller that a token belongs to, or null if the token is not valid. */
  public Caller authenticate(String token) {
    int dot = token.length() > MAX_TOKEN_LENGTH ? -1 : token.indexOf('.');
    Entry entry = dot < 1 ? null : store.get(Kind.TOKEN, token.substring(0, dot));
    byte[] secret =
        token
            .substring(dot + 1, Math.min(token.length(), dot + 1 + MAX_TOKEN_LENGTH))
            .getBytes(UTF_8);
    boolean matches = false;
    if (entry == null) {
      // Compares with a dummy hash, so that the response time does not reveal whether a token of
      // this name exists.
      ApiKeys.matches(DUMMY_HASH, secret);
    } else {
      for (JsonNode hash : entry.document().path("hashes")) {
        matches |=
            ApiKeys.matches(HexFormat.of().parseHex(hash.path("sha256").asText()), secret)
                && hash.path("until").asLong(Long.MAX_VALUE) > clock.getAsLong();
      }
    }
    return matches ? new Caller(entry.name(), entry.document().path("tenant").asText(null)) : null;
  }
}
