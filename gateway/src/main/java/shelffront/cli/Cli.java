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
 * The command-line interface. Exit codes: 0 success, 1 the command failed and printed the reason, 2
 * invalid command line. {@link shelffront.Main} handles {@code serve}, {@code benchlink} and {@code
 * rehearse} without options, which the platform starts, and does not call this class for them.
 */
@Command(
    name = "shelffront",
    mixinStandardHelpOptions = true,
    version = "shelffront 0.2.0",
    description = "A PostgreSQL gateway that routes reads and writes to replicated databases.",
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
  private static final long STOP_TIMEOUT_SECONDS = 30;
  private static final long LOG_CLOSE_TIMEOUT_MILLIS = 2000;

  /** A command failed; the message is printed to the user. */
  private static final class Failure extends Exception {

    private static final long serialVersionUID = 1L;

    Failure(String message) {
      super(message);
    }
  }

  private Cli() {}

  /** Runs a command and returns its exit code. */
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
   * Reads the configuration of a multi-tenant gateway from a Jsonnet template or plain JSON.
   *
   * @throws Failure if the configuration is invalid; the message names the file, the JSON pointer
   *     of the value and the reason
   */
  private static MultiTenantConfig readConfig(Path file) throws Failure {
    try {
      return MultiTenantConfig.read(JsonnetTemplates.evaluate(file));
    } catch (SpecException e) {
      throw new Failure(
          file + ": " + (e.pointer().isEmpty() ? "" : e.pointer() + " ") + e.getMessage());
    } catch (IOException e) {
      throw new Failure(file + ": " + e.getMessage());
    }
  }

  /** Runs a multi-tenant gateway. */
  @Command(
      name = "serve",
      mixinStandardHelpOptions = true,
      description =
          "Runs a gateway: for many tenants with --config, otherwise for the single tenant that the"
              + " environment configures.")
  static final class Serve implements Callable<Integer> {

    /** Format of log lines. */
    enum Format {
      TEXT,
      JSON
    }

    @Option(
        names = "--log",
        defaultValue = "TEXT",
        description = "format of log lines: ${COMPLETION-CANDIDATES}")
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
      MultiTenantGateway gateway = new MultiTenantGateway(readConfig(file), log);
      CountDownLatch stopped = new CountDownLatch(1);
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    gateway.drain();
                    try {
                      stopped.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
                      lines.close(LOG_CLOSE_TIMEOUT_MILLIS);
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  },
                  "stop"));
      reloadSignal.handleWith(() -> reload(gateway, log), log);
      if (gateway.adminAddress() != null && gateway.store().all(Kind.TOKEN).isEmpty()) {
        log.println(
            "first operator token, shown once: " + gateway.tokens().create(null, "first start"));
      }
      log.println(
          "listens on "
              + gateway.address()
              + (gateway.adminAddress() == null
                  ? ""
                  : ", administration on " + gateway.adminAddress()));
      gateway.run();
      stopped.countDown();
      return 0;
    }

    private void reload(MultiTenantGateway gateway, EventLog log) {
      try {
        log.println(
            "configuration reloaded from "
                + file
                + ", created "
                + gateway.addMissingTenants(readConfig(file))
                + " new tenants");
      } catch (Failure
          | SpecException
          | ConflictException
          | OperatorException
          | RuntimeException e) {
        log.println(
            "configuration reload failed, the running configuration stays in effect: "
                + e.getMessage());
      }
    }
  }

  /** Runs a distributor of tenant specs to the gateways of a fleet. */
  @Command(
      name = "distribute",
      mixinStandardHelpOptions = true,
      description =
          "Runs a distributor: subscribes to the coordination store of a fleet or to other"
              + " distributors, and serves updates to gateways.")
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
      try (DistributorProcess distributor =
          DistributorProcess.fromSettings(JsonnetTemplates.evaluate(file), log)) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown, "stop"));
        distributor.start();
        log.println("distributes on " + distributor.address());
        stopped.await();
        lines.close(LOG_CLOSE_TIMEOUT_MILLIS);
      } catch (SpecException e) {
        throw new Failure(file + ": " + e.pointer() + " " + e.getMessage());
      }
      return 0;
    }
  }

  /**
   * A command that takes no options, listed here only for the help. {@link shelffront.Main} starts
   * it, so this class runs only if arguments were given.
   */
  abstract static class OptionlessCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
      throw new ParameterException(spec.commandLine(), spec.name() + " takes no options");
    }
  }

  @Command(
      name = "benchlink",
      description =
          "Runs the simulator adapter: the decision module on the simulator's line protocol.")
  static final class Benchlink extends OptionlessCommand {}

  @Command(
      name = "rehearse",
      description =
          "Runs the training run, the last step of the build: sends requests through a gateway and"
              + " exits.")
  static final class Rehearse extends OptionlessCommand {}

  /** Checks or renders a configuration file. */
  @Command(
      name = "config",
      mixinStandardHelpOptions = true,
      description = "Checks or renders a configuration file.")
  static final class Config {

    @Command(
        name = "check",
        description = "Checks a configuration file, and reports where and why it is invalid.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws Failure {
      MultiTenantConfig config = readConfig(file);
      System.out.println(file + ": valid, " + config.tenants().size() + " tenants");
      return 0;
    }

    @Command(
        name = "render",
        description = "Evaluates a valid configuration template and prints the resulting JSON.")
    int render(@Parameters(paramLabel = "FILE") Path file)
        throws Failure, IOException, SpecException {
      readConfig(file);
      System.out.println(JsonnetTemplates.evaluate(file).toPrettyString());
      return 0;
    }
  }

  /** Client of the administration API of a running gateway. */
  static final class Remote {

    @Option(
        names = "--admin",
        paramLabel = "HOST:PORT",
        defaultValue = "127.0.0.1:8600",
        scope = ScopeType.INHERIT,
        description = "address of the gateway's administration API (default: ${DEFAULT-VALUE})")
    private String admin;

    @Option(
        names = "--token",
        paramLabel = "TOKEN",
        defaultValue = "${env:SHELFFRONT_TOKEN}",
        scope = ScopeType.INHERIT,
        description =
            "token for the administration API; defaults to the environment variable"
                + " SHELFFRONT_TOKEN")
    private String token;

    JsonNode call(String method, String path, String body, String... headers) throws Failure {
      return exchange(method, path, body, headers).body();
    }

    record Response(JsonNode body, String etag) {}

    Response exchange(String method, String path, String body, String... headers) throws Failure {
      if (token == null || token.isEmpty()) {
        throw new Failure("no token given: use --token or set SHELFFRONT_TOKEN");
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
        HttpResponse<String> response =
            HttpClient.newHttpClient().send(request.build(), BodyHandlers.ofString());
        JsonNode json =
            response.body().isEmpty() ? JSON.nullNode() : JSON.readTree(response.body());
        if (response.statusCode() >= 300) {
          String pointer = json.path("errors").path(0).path("pointer").asText("");
          throw new Failure(
              response.statusCode()
                  + " "
                  + json.path("title").asText()
                  + ": "
                  + (pointer.isEmpty() ? "" : pointer + " ")
                  + json.path("detail").asText());
        }
        return new Response(json, response.headers().firstValue("ETag").orElse(""));
      } catch (IOException | IllegalArgumentException e) {
        throw new Failure(
            "request to the administration API at " + admin + " failed: " + e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new Failure("interrupted");
      }
    }
  }

  /** Manages the tenants of a running gateway. */
  @Command(
      name = "tenant",
      mixinStandardHelpOptions = true,
      description = "Shows and changes tenants.")
  static final class TenantCommand {

    @CommandLine.Mixin private Remote remote;

    @Command(name = "list", description = "Lists the tenants that the token gives access to.")
    int list() throws Failure {
      for (JsonNode tenantEntry : remote.call("GET", "/v1/tenants", null).path("tenants")) {
        System.out.println(
            tenantEntry.path("tenant").path("id").asText()
                + " revision "
                + tenantEntry.path("revision").asLong());
      }
      return 0;
    }

    @Command(name = "show", description = "Prints a tenant spec as JSON.")
    int show(@Parameters(paramLabel = "ID") String id) throws Failure {
      System.out.println(
          remote.call("GET", "/v1/tenants/" + id, null).path("tenant").toPrettyString());
      return 0;
    }

    @Command(
        name = "apply",
        description =
            "Creates or changes a tenant from a file, and waits up to 30 s until the change is in"
                + " force.")
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
      for (JsonNode tenantEntry : remote.call("GET", "/v1/tenants", null).path("tenants")) {
        if (tenantEntry.path("tenant").path("id").equals(tenant.path("id"))) {
          match = new String[] {"If-Match", "\"" + tenantEntry.path("revision").asLong() + "\""};
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

    @Command(name = "remove", description = "Removes a tenant.")
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

    @Command(name = "usage", description = "Prints the resource usage and counters of a tenant.")
    int usage(@Parameters(paramLabel = "ID") String id) throws Failure {
      System.out.println(remote.call("GET", "/v1/tenants/" + id + "/usage", null).toPrettyString());
      return 0;
    }
  }

  /** Manages the client keys of a tenant of a running gateway. */
  @Command(
      name = "key",
      mixinStandardHelpOptions = true,
      description = "Creates, lists and revokes client keys.")
  static final class KeyCommand {

    @CommandLine.Mixin private Remote remote;

    @Command(
        name = "new",
        description = "Creates a key for a user and prints it; the key cannot be shown again.")
    int create(
        @Parameters(paramLabel = "TENANT") String tenant,
        @Parameters(paramLabel = "USER") String user)
        throws Failure {
      JsonNode requestBody = JSON.createObjectNode().put("user", user);
      JsonNode created =
          remote.call("POST", "/v1/tenants/" + tenant + "/keys", requestBody.toString());
      System.out.println(created.path("id").asText() + " " + created.path("key").asText());
      return 0;
    }

    @Command(name = "list", description = "Lists the keys of a tenant with their users.")
    int list(@Parameters(paramLabel = "TENANT") String tenant) throws Failure {
      for (JsonNode key :
          remote.call("GET", "/v1/tenants/" + tenant + "/keys", null).path("keys")) {
        System.out.println(key.path("id").asText() + " " + key.path("user").asText());
      }
      return 0;
    }

    @Command(
        name = "end",
        description = "Revokes a key; the last key of a tenant cannot be revoked.")
    int end(
        @Parameters(paramLabel = "TENANT") String tenant, @Parameters(paramLabel = "ID") String id)
        throws Failure {
      remote.call("DELETE", "/v1/tenants/" + tenant + "/keys/" + id, null);
      return 0;
    }
  }

  /** Exports and imports the document store of a gateway that is not running. */
  @Command(
      name = "store",
      mixinStandardHelpOptions = true,
      description = "Exports and imports the document store of a gateway that is not running.")
  static final class StoreCommand {

    @Command(
        name = "export",
        description = "Prints all tenants and token hashes as one JSON document.")
    int export(@Parameters(paramLabel = "FILE") Path file) throws IOException {
      try (DocumentStore store = DocumentStore.open(file)) {
        System.out.println(store.export().toPrettyString());
      }
      return 0;
    }

    @Command(
        name = "import",
        description =
            "Imports all documents of an export, replacing stored documents of the same name.")
    int importDocuments(
        @Parameters(paramLabel = "FILE") Path file,
        @Parameters(paramLabel = "DOCUMENT") Path document)
        throws IOException, SpecException {
      JsonNode exported = TenantSpecCodec.parse(Files.readAllBytes(document));
      // All tenant specs are checked before any document is imported.
      for (JsonNode tenant : exported.path("tenant")) {
        TenantSpecCodec.read(tenant);
      }
      try (DocumentStore store = DocumentStore.open(file)) {
        System.out.println(
            "imported "
                + store.importAll(exported, "command line", System.currentTimeMillis())
                + " documents");
      }
      return 0;
    }
  }

  /** Manages administration tokens of a running gateway, or in the store of a stopped one. */
  @Command(
      name = "token",
      mixinStandardHelpOptions = true,
      description = "Creates, rotates and revokes administration tokens.")
  static final class TokenCommand {

    @CommandLine.Mixin private Remote remote;

    @Option(
        names = "--store",
        paramLabel = "FILE",
        description = "document store of a gateway that is not running")
    private Path store;

    @Command(
        name = "new",
        description =
            "Creates an operator token, or with --tenant a token for the administrator of that"
                + " tenant.")
    int create(@Option(names = "--tenant", paramLabel = "ID") String tenant)
        throws Failure, IOException, ConflictException {
      if (store != null) {
        try (DocumentStore s = DocumentStore.open(store)) {
          System.out.println(
              new AdminTokens(s, System::currentTimeMillis).create(tenant, "command line"));
        }
      } else {
        JsonNode requestBody = JSON.createObjectNode().put("tenant", tenant);
        System.out.println(
            remote.call("POST", "/v1/tokens", requestBody.toString()).path("token").asText());
      }
      return 0;
    }

    @Command(
        name = "rotate",
        description = "Replaces the secret of a token; the old secret stays valid for the overlap.")
    int rotate(
        @Parameters(paramLabel = "ID") String id,
        @Option(names = "--overlap-seconds", defaultValue = "0") long overlap)
        throws Failure {
      String body = "{\"overlapSeconds\":" + overlap + "}";
      System.out.println(
          remote.call("POST", "/v1/tokens/" + id + "/rotate", body).path("token").asText());
      return 0;
    }

    @Command(name = "revoke", description = "Revokes a token.")
    int revoke(@Parameters(paramLabel = "ID") String id) throws Failure {
      remote.call("DELETE", "/v1/tokens/" + id, null);
      return 0;
    }
  }
}
