package shelffront.controlplane;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import shelffront.controlplane.DistributionException.DistributionGarbled;
import shelffront.controlplane.DistributionException.DistributorRefused;
import shelffront.controlplane.DistributionException.DistributorUnreachable;
import shelffront.distribution.DistributorEndpoint;
import shelffront.distribution.Version;

/**
 * Client of the HTTP interface of one distributor. Every call has a timeout, and a call that fails
 * completes exceptionally with {@link DistributorUnreachable}, {@link DistributorRefused} or {@link
 * DistributionGarbled}. Thread-safe and non-blocking.
 */
final class DistributorClient {

  private static final long NANOS_PER_MICRO = 1000;

  /** Parses the body of a response. */
  private interface ResponseParser<T> {

    T parse(byte[] body) throws DistributionGarbled;
  }

  private final HttpClient http;
  private final DistributorEndpoint endpoint;

  DistributorClient(HttpClient http, DistributorEndpoint endpoint) {
    this.http = http;
    this.endpoint = endpoint;
  }

  DistributorEndpoint endpoint() {
    return endpoint;
  }

  CompletableFuture<DistributionMessages.SubscribeResponse> subscribe(
      DistributionMessages.SubscribeRequest request, long timeoutMicros) {
    return post(
        "/v1/subscriptions",
        request.toJson(),
        timeoutMicros,
        DistributionMessages.SubscribeResponse::fromJson);
  }

  CompletableFuture<DistributionMessages.ChangeNamesResponse> changeNames(
      String subscription, DistributionMessages.ChangeNamesRequest change, long timeoutMicros) {
    return post(
        "/v1/subscriptions/" + subscription + "/names",
        change.toJson(),
        timeoutMicros,
        DistributionMessages.ChangeNamesResponse::fromJson);
  }

  CompletableFuture<DistributionMessages.PollResponse> poll(
      String subscription, Version after, long waitMicros, long timeoutMicros) {
    String path =
        "/v1/subscriptions/"
            + subscription
            + "/changes?incarnation="
            + after.incarnation()
            + "&sequence="
            + after.sequence()
            + "&waitMicros="
            + waitMicros;
    return call(
        HttpRequest.newBuilder(uri(path)).GET(),
        timeoutMicros,
        DistributionMessages.PollResponse::fromJson);
  }

  CompletableFuture<Void> reject(
      String subscription, DistributionMessages.RejectionReport report, long timeoutMicros) {
    return post(
        "/v1/subscriptions/" + subscription + "/rejected",
        report.toJson(),
        timeoutMicros,
        body -> null);
  }

  private URI uri(String path) {
    return URI.create("http://" + endpoint.address() + path);
  }

  private <T> CompletableFuture<T> post(
      String path, byte[] body, long timeoutMicros, ResponseParser<T> parser) {
    return call(
        HttpRequest.newBuilder(uri(path)).POST(BodyPublishers.ofByteArray(body)),
        timeoutMicros,
        parser);
  }

  private <T> CompletableFuture<T> call(
      HttpRequest.Builder request, long timeoutMicros, ResponseParser<T> parser) {
    CompletableFuture<HttpResponse<byte[]>> call =
        http.sendAsync(
            request.timeout(Duration.ofNanos(timeoutMicros * NANOS_PER_MICRO)).build(),
            BodyHandlers.ofByteArray());
    // The timeout of the request covers the time until the response headers only; this one also
    // covers the body.
    CompletableFuture<HttpResponse<byte[]>> withTimeout =
        call.copy().orTimeout(timeoutMicros, TimeUnit.MICROSECONDS);
    return withTimeout.handle(
        (response, failure) -> {
          if (failure != null) {
            call.cancel(true);
            throw new CompletionException(new DistributorUnreachable(endpoint.address(), failure));
          }
          return parse(response, parser);
        });
  }

  private <T> T parse(HttpResponse<byte[]> response, ResponseParser<T> parser) {
    if (response.statusCode() >= HttpStatus.FIRST_ERROR) {
      throw new CompletionException(
          new DistributorRefused(endpoint.address(), response.statusCode()));
    }
    try {
      return parser.parse(response.body());
    } catch (DistributionGarbled e) {
      throw new CompletionException(e);
    }
  }
}
