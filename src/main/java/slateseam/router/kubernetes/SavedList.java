package slateseam.router.kubernetes;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import slateseam.router.config.KubernetesSettings;
import slateseam.router.membership.Membership;
import slateseam.router.net.Loop;
import slateseam.router.net.MalformedException;

/**
 * A list of EndpointSlices in a file, as {@code kubectl get endpointslices -o json} writes it, read as one of the
 * API's.
 */
public final class SavedList {
    private static final int STEP = 64 * 1024;

    private SavedList() {}

    /**
     * What a router with these settings would know from it alone. The file is taken for what the API would answer: what
     * its selector leaves out is left out by whoever wrote the file.
     *
     * @throws MalformedException if it is no such list, or holds an object that would be left out
     */
    public static Membership read(KubernetesSettings settings, Path file, Loop loop)
            throws IOException, MalformedException {
        List<String> left = new ArrayList<>();
        Listing listing = new Listing(new SliceReader(settings.port()), (kind, text) -> left.add(text));
        try (InputStream in = Files.newInputStream(file)) {
            for (byte[] part; (part = in.readNBytes(STEP)).length > 0; ) {
                listing.page().take(ByteBuffer.wrap(part));
            }
        }
        listing.savedIsOver();
        if (!left.isEmpty()) {
            throw new MalformedException(left.get(0));
        }
        Membership membership = new Membership(Memberships.settings(settings));
        membership.listed(listing.slices(), "0", loop.now());
        return membership;
    }
}
