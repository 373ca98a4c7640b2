package slateseam.standin.kubernetes;

import static org.assertj.core.api.Assertions.assertThat;

import io.fabric8.kubernetes.api.model.discovery.v1.Endpoint;
import io.fabric8.kubernetes.api.model.discovery.v1.EndpointSlice;
import io.fabric8.kubernetes.client.Config;
import io.fabric8.kubernetes.client.ConfigBuilder;
import io.fabric8.kubernetes.client.KubernetesClient;
import io.fabric8.kubernetes.client.KubernetesClientBuilder;
import io.fabric8.kubernetes.client.informers.ResourceEventHandler;
import io.fabric8.kubernetes.client.informers.SharedIndexInformer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** What a well-known client's informer makes of an API: the endpoints of a service that it sees. */
public final class Informed implements AutoCloseable {
    private static final long LONGEST_WAIT = TimeUnit.SECONDS.toNanos(20);

    private final Object happened = new Object();
    private final KubernetesClient client;
    private final SharedIndexInformer<EndpointSlice> informer;

    /** Follows a service; the CA's certificate is null without TLS, the token where none is asked for. */
    public Informed(String url, String caPem, String token, String namespace, String service) {
        ConfigBuilder config = new ConfigBuilder(Config.empty())
                .withMasterUrl(url)
                .withNamespace(namespace)
                .withOauthToken(token)
                .withOnlyHttpWatches(true)
                .withHttp2Disable(true)
                .withWatchReconnectInterval(20)
                .withRequestRetryBackoffInterval(20)
                .withRequestRetryBackoffLimit(50);
        if (caPem != null) {
            config.withCaCertData(Base64.getEncoder().encodeToString(caPem.getBytes()));
        }
        client = new KubernetesClientBuilder().withConfig(config.build()).build();
        informer = client.discovery()
                .v1()
                .endpointSlices()
                .inNamespace(namespace)
                .withLabel("kubernetes.io/service-name", service)
                .runnableInformer(0)
                .exceptionHandler((started, failure) -> true)
                .addEventHandler(new ResourceEventHandler<>() {
                    @Override
                    public void onAdd(EndpointSlice slice) {
                        tell();
                    }

                    @Override
                    public void onUpdate(EndpointSlice old, EndpointSlice slice) {
                        tell();
                    }

                    @Override
                    public void onDelete(EndpointSlice slice, boolean unknown) {
                        tell();
                    }
                });
        informer.start();
    }

    private void tell() {
        synchronized (happened) {
            happened.notifyAll();
        }
    }

    /** The endpoints that it sees now, in the form of {@link Cluster#truth}. */
    public List<String> endpoints() {
        TreeSet<String> lines = new TreeSet<>();
        for (EndpointSlice slice : informer.getStore().list()) {
            for (Endpoint one : slice.getEndpoints() == null ? List.<Endpoint>of() : slice.getEndpoints()) {
                lines.add(Pod.line(
                        slice.getMetadata().getName(),
                        one.getAddresses(),
                        one.getTargetRef().getName(),
                        one.getTargetRef().getUid(),
                        one.getNodeName(),
                        one.getZone(),
                        one.getConditions().getReady(),
                        one.getConditions().getServing(),
                        one.getConditions().getTerminating()));
            }
        }
        return new ArrayList<>(lines);
    }

    /** Waits until it sees what is true, however long that takes up to a bound. */
    public void awaitSame(Supplier<List<String>> truth) throws InterruptedException {
        long until = System.nanoTime() + LONGEST_WAIT;
        List<String> wanted = truth.get();
        synchronized (happened) {
            while (!endpoints().equals(wanted) && System.nanoTime() < until) {
                // Woken by what happens; the bound only lets a lost wake-up be found.
                happened.wait(20);
                wanted = truth.get();
            }
        }
        assertThat(endpoints()).isEqualTo(wanted);
    }

    @Override
    public void close() {
        informer.close();
        client.close();
    }
}
