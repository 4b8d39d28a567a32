package shelffront.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;
import shelffront.admin.AdminTokens;
import shelffront.controlplane.DistributorProcess;
import shelffront.coordination.OperatorException;
import shelffront.gateway.ReloadSignal;
import shelffront.logging.GatewayLogging;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.net.AsyncEventLog;
import shelffront.net.EventLog;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * The command line. Exit codes: 0 done, 1 it could not be done and says why, 2 the command line was
 * not understood. What the platform starts ({@code serve}, {@code benchlink} and {@code rehearse}
 * without options) never comes here.
 */
@Command(
    name = "shelffront",
    mixinStandardHelpOptions = true,
    version = "shelffront 0.2.0",
    description = "A gateway that routes reads and writes of replicated databases.",
    subcommands = {
      Cli.Serve.class,
      Cli.Distribute.class,
      Cli.Benchlink.class,
      Cli.Rehearse.class,
      Cli.Config.class,
      Cli.TenantCommand.class,
      Cli.TokenCommand.class,
      Cli.KeyCommand.class,
      Cli.StoreCommand.class,
      GenerateCompletion.class
    })
public final class Cli {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long STOP_SECONDS = 30;

  /** What was asked can't be done; the message is for the one who asked. */
  private static final class Failure extends Exception {

    private static final long serialVersionUID = 1L;

    Failure(String message) {
      super(message);
    }
  }

  private Cli() {}

  /** Gives the exit code. */
  public static int run(String... arguments) {
    CommandLine line = new CommandLine(new Cli());
    line.setExecutionExceptionHandler(
        (e, command, result) -> {
          command.getErr().println("shelffront: " + e.getMessage());
          return 1;
        });
    if (arguments.length == 0) {
      line.usage(line.getErr());
      return 2;
    }
    return line.execute(arguments);
  }

  /**
   * Reads settings, a template or plain JSON, and names file, path and reason where they are not
   * valid.
   */
  private static MultiTenantConfig config(Path file) throws Failure {
    try {
      return MultiTenantConfig.read(JsonnetTemplates.evaluate(file));
    } catch (SpecException e) {
      throw new Failure(
          file + ": " + (e.pointer().isEmpty() ? "" : e.pointer() + " ") + e.getMessage());
    } catch (IOException e) {
      throw new Failure(file + ": " + e.getMessage());
    }
  }

  /** Runs a gateway. */
  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description =
          "Runs a gateway: with --config for many tenants, else as the platform's environment"
              + " says.")
  static final class Serve implements Callable<Integer> {

    /** The form of log lines. */
    enum Format {
      TEXT,
      JSON
    }

    @Option(
        names = "--log",
        defaultValue = "TEXT",
        description = "the form of log lines: ${COMPLETION-CANDIDATES}")
    private Format format;

    @Option(
        names = "--config",
        required = true,
        paramLabel = "FILE",
        description = "Jsonnet or JSON")
    private Path file;

    @Override
    public Integer call() throws Exception {
      AsyncEventLog lines =
          new AsyncEventLog(new PrintStream(new FileOutputStream(FileDescriptor.out)));
      EventLog log = GatewayLogging.open(format == Format.JSON, lines);
      ReloadSignal reloadSignal = ReloadSignal.install(file);
      MultiTenantGateway hosted = new MultiTenantGateway(config(file), log);
      CountDownLatch stopped = new CountDownLatch(1);
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    hosted.drain();
                    try {
                      stopped.await(STOP_SECONDS, TimeUnit.SECONDS);
                      lines.close(2000);
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  },
                  "stop"));
      reloadSignal.handleWith(() -> reload(hosted, log), log);
      if (hosted.adminAddress() != null && hosted.store().all(Kind.TOKEN).isEmpty()) {
        log.println(
            "first operator token, shown once: " + hosted.tokens().create(null, "first start"));
      }
      log.println(
          "listens on "
              + hosted.address()
              + (hosted.adminAddress() == null
                  ? ""
                  : ", administration on " + hosted.adminAddress()));
      hosted.run();
      stopped.countDown();
      return 0;
    }

    private void reload(MultiTenantGateway hosted, EventLog log) {
      try {
        log.println(
            "read "
                + file
                + " anew, "
                + hosted.addMissingTenants(config(file))
                + " tenants put in");
      } catch (Failure
          | SpecException
          | ConflictException
          | OperatorException
          | RuntimeException e) {
        log.println("reload failed, what was in force stays: " + e.getMessage());
      }
    }
  }

  /** Runs a distributor of a fleet's configuration. */
  @Command(
      name = "distribute",
      mixinStandardHelpOptions = true,
      description =
          "Follows a fleet's engine, or other distributors, and serves gateways what they follow.")
  static final class Distribute implements Callable<Integer> {

    @Option(
        names = "--config",
        required = true,
        paramLabel = "FILE",
        description = "Jsonnet or JSON")
    private Path file;

    @Override
    public Integer call() throws Exception {
      AsyncEventLog lines =
          new AsyncEventLog(new PrintStream(new FileOutputStream(FileDescriptor.out)));
      EventLog log = GatewayLogging.open(false, lines);
      try (DistributorProcess role =
          DistributorProcess.fromSettings(JsonnetTemplates.evaluate(file), log)) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown, "stop"));
        role.start();
        log.println("distributes on " + role.address());
        stopped.await();
        lines.close(2000);
      } catch (SpecException e) {
        throw new Failure(file + ": " + e.pointer() + " " + e.getMessage());
      }
      return 0;
    }
  }

  /** Stands in the help; without options it is started without this class. */
  abstract static class WithoutOptions implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
      throw new ParameterException(spec.commandLine(), spec.name() + " takes no options");
    }
  }

  @Command(name = "benchlink", description = "Hosts the decision module on the simulator's wire.")
  static final class Benchlink extends WithoutOptions {}

  @Command(
      name = "rehearse",
      description = "Plays some requests through a gateway and ends; the build's last step.")
  static final class Rehearse extends WithoutOptions {}

  /** Checks or shows settings. */
  @Command(
      name = "config",
      mixinStandardHelpOptions = true,
      description = "Checks or renders a file of settings.")
  static final class Config {

    @Command(
        name = "check",
        description = "Says whether a file is valid, and if not, where and why.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws Failure {
      MultiTenantConfig config = config(file);
      System.out.println(file + ": valid, " + config.tenants().size() + " tenants");
      return 0;
    }

    @Command(
        name = "render",
        description = "Writes the JSON that a template gives, once it is valid.")
    int render(@Parameters(paramLabel = "FILE") Path file)
        throws Failure, IOException, SpecException {
      config(file);
      System.out.println(JsonnetTemplates.evaluate(file).toPrettyString());
      return 0;
    }
  }

  /** A running gateway's administration. */
  static final class Remote {

    @Option(
        names = "--admin",
        paramLabel = "HOST:PORT",
        defaultValue = "127.0.0.1:8600",
        scope = ScopeType.INHERIT,
        description = "where the gateway's administration listens (${DEFAULT-VALUE})")
    private String admin;

    @Option(
        names = "--token",
        paramLabel = "TOKEN",
        defaultValue = "${env:SHELFFRONT_TOKEN}",
        scope = ScopeType.INHERIT,
        description = "the administrator's token; else in the environment as SHELFFRONT_TOKEN")
    private String token;

    JsonNode call(String method, String path, String body, String... headers) throws Failure {
      return exchange(method, path, body, headers).body();
    }

    record Answered(JsonNode body, String etag) {}

    Answered exchange(String method, String path, String body, String... headers) throws Failure {
      if (token == null || token.isEmpty()) {
        throw new Failure("no token: give --token or set SHELFFRONT_TOKEN");
      }
      try {
        HttpRequest.Builder request =
            HttpRequest.newBuilder(URI.create("http://" + admin + path))
                .timeout(Duration.ofSeconds(90))
                .header("Authorization", "Bearer " + token)
                .method(
                    method, body == null ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
        if (headers.length > 0) {
          request.headers(headers);
        }
        HttpResponse<String> answer =
            HttpClient.newHttpClient().send(request.build(), BodyHandlers.ofString());
        JsonNode json = answer.body().isEmpty() ? JSON.nullNode() : JSON.readTree(answer.body());
        if (answer.statusCode() >= 300) {
          String pointer = json.path("errors").path(0).path("pointer").asText("");
          throw new Failure(
              answer.statusCode()
                  + " "
                  + json.path("title").asText()
                  + ": "
                  + (pointer.isEmpty() ? "" : pointer + " ")
                  + json.path("detail").asText());
        }
        return new Answered(json, answer.headers().firstValue("ETag").orElse(""));
      } catch (IOException | IllegalArgumentException e) {
        throw new Failure("no answer from " + admin + ": " + e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new Failure("interrupted");
      }
    }
  }

  /** Tenants of a running gateway. */
  @Command(
      name = "tenant",
      mixinStandardHelpOptions = true,
      description = "Shows and changes tenants.")
  static final class TenantCommand {

    @CommandLine.Mixin private Remote remote;

    @Command(name = "list", description = "Names all tenants that the token may see.")
    int list() throws Failure {
      for (JsonNode t : remote.call("GET", "/v1/tenants", null).path("tenants")) {
        System.out.println(
            t.path("tenant").path("id").asText() + " revision " + t.path("revision").asLong());
      }
      return 0;
    }

    @Command(name = "show", description = "Writes a tenant as JSON.")
    int show(@Parameters(paramLabel = "ID") String id) throws Failure {
      System.out.println(
          remote.call("GET", "/v1/tenants/" + id, null).path("tenant").toPrettyString());
      return 0;
    }

    @Command(
        name = "apply",
        description = "Makes a tenant as a file says, new or changed, and waits until it is.")
    int apply(@Parameters(paramLabel = "FILE") Path file)
        throws Failure, IOException, SpecException {
      JsonNode tenant = JsonnetTemplates.evaluate(file);
      try {
        TenantSpecCodec.read(tenant);
      } catch (SpecException e) {
        throw new Failure(file + ": " + e.pointer() + " " + e.getMessage());
      }
      String path = "/v1/tenants/" + tenant.path("id").asText();
      String[] match = {"If-None-Match", "*"};
      for (JsonNode t : remote.call("GET", "/v1/tenants", null).path("tenants")) {
        if (t.path("tenant").path("id").equals(tenant.path("id"))) {
          match = new String[] {"If-Match", "\"" + t.path("revision").asLong() + "\""};
        }
      }
      long revision = remote.call("PUT", path, tenant.toString(), match).path("revision").asLong();
      System.out.println("revision " + revision + inForce(revision));
      return 0;
    }

    private String inForce(long revision) throws Failure {
      JsonNode changes = remote.call("GET", "/v1/changes?wait=30s&after=" + (revision - 1), null);
      return changes.path("changes").path(0).has("inForce")
          ? " is in force"
          : " is not in force yet";
    }

    @Command(name = "remove", description = "Takes a tenant out of service.")
    int remove(@Parameters(paramLabel = "ID") String id) throws Failure {
      String etag = remote.exchange("GET", "/v1/tenants/" + id, null).etag();
      long revision =
          remote
              .call("DELETE", "/v1/tenants/" + id, null, "If-Match", etag)
              .path("revision")
              .asLong();
      System.out.println("revision " + revision + inForce(revision));
      return 0;
    }

    @Command(name = "usage", description = "Says what a tenant uses and has done.")
    int usage(@Parameters(paramLabel = "ID") String id) throws Failure {
      System.out.println(remote.call("GET", "/v1/tenants/" + id + "/usage", null).toPrettyString());
      return 0;
    }
  }

  /** Clients' keys of a tenant of a running gateway. */
  @Command(
      name = "key",
      mixinStandardHelpOptions = true,
      description = "Makes, lists and ends clients' keys.")
  static final class KeyCommand {

    @CommandLine.Mixin private Remote remote;

    @Command(name = "new", description = "Makes a key for a user and writes it; it is shown once.")
    int create(
        @Parameters(paramLabel = "TENANT") String tenant,
        @Parameters(paramLabel = "USER") String user)
        throws Failure {
      JsonNode asked = JSON.createObjectNode().put("user", user);
      JsonNode made = remote.call("POST", "/v1/tenants/" + tenant + "/keys", asked.toString());
      System.out.println(made.path("id").asText() + " " + made.path("key").asText());
      return 0;
    }

    @Command(name = "list", description = "Names a tenant's keys and whose they are.")
    int list(@Parameters(paramLabel = "TENANT") String tenant) throws Failure {
      for (JsonNode k : remote.call("GET", "/v1/tenants/" + tenant + "/keys", null).path("keys")) {
        System.out.println(k.path("id").asText() + " " + k.path("user").asText());
      }
      return 0;
    }

    @Command(name = "end", description = "Ends a key; the last one of a tenant stays.")
    int end(
        @Parameters(paramLabel = "TENANT") String tenant, @Parameters(paramLabel = "ID") String id)
        throws Failure {
      remote.call("DELETE", "/v1/tenants/" + tenant + "/keys/" + id, null);
      return 0;
    }
  }

  /** The store of a gateway that does not run. */
  @Command(
      name = "store",
      mixinStandardHelpOptions = true,
      description = "Exports and imports the store of a gateway that does not run.")
  static final class StoreCommand {

    @Command(
        name = "export",
        description = "Writes all tenants and the hashes of tokens as one JSON document.")
    int export(@Parameters(paramLabel = "FILE") Path file) throws IOException {
      try (DocumentStore store = DocumentStore.open(file)) {
        System.out.println(store.export().toPrettyString());
      }
      return 0;
    }

    @Command(
        name = "import",
        description = "Puts in all that an export holds, in place of what has the same name.")
    int take(
        @Parameters(paramLabel = "FILE") Path file,
        @Parameters(paramLabel = "DOCUMENT") Path document)
        throws IOException, SpecException {
      JsonNode exported = TenantSpecCodec.parse(Files.readAllBytes(document));
      // All of it is checked before any of it is put in.
      for (JsonNode tenant : exported.path("tenant")) {
        TenantSpecCodec.read(tenant);
      }
      try (DocumentStore store = DocumentStore.open(file)) {
        System.out.println(
            store.importAll(exported, "command line", System.currentTimeMillis()) + " put in");
      }
      return 0;
    }
  }

  /** Administrators' tokens, of a running gateway or in the store of one that is stopped. */
  @Command(
      name = "token",
      mixinStandardHelpOptions = true,
      description = "Makes, rotates and revokes tokens.")
  static final class TokenCommand {

    @CommandLine.Mixin private Remote remote;

    @Option(
        names = "--store",
        paramLabel = "FILE",
        description = "the store of a gateway that does not run")
    private Path store;

    @Command(
        name = "new",
        description = "Makes a token: an operator's, with --tenant that of its administrator.")
    int create(@Option(names = "--tenant", paramLabel = "ID") String tenant)
        throws Failure, IOException, ConflictException {
      if (store != null) {
        try (DocumentStore s = DocumentStore.open(store)) {
          System.out.println(
              new AdminTokens(s, System::currentTimeMillis).create(tenant, "command line"));
        }
      } else {
        JsonNode asked = JSON.createObjectNode().put("tenant", tenant);
        System.out.println(
            remote.call("POST", "/v1/tokens", asked.toString()).path("token").asText());
      }
      return 0;
    }

    @Command(
        name = "rotate",
        description = "Gives a token a new secret; the old one holds for the overlap.")
    int rotate(
        @Parameters(paramLabel = "ID") String id,
        @Option(names = "--overlap-seconds", defaultValue = "0") long overlap)
        throws Failure {
      String body = "{\"overlapSeconds\":" + overlap + "}";
      System.out.println(
          remote.call("POST", "/v1/tokens/" + id + "/rotate", body).path("token").asText());
      return 0;
    }

    @Command(name = "revoke", description = "Ends a token.")
    int revoke(@Parameters(paramLabel = "ID") String id) throws Failure {
      remote.call("DELETE", "/v1/tokens/" + id, null);
      return 0;
    }
  }
}
