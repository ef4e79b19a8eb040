package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.StateMachine;

/**
 * The replicated state machine of the configuration: its objects, the number of the ticket that
 * last set each, and the verdicts on recent tickets.
 *
 * <p>A ticket is accepted if its number is above that of every object that it changes; all of its
 * changes then apply at once. Removed objects keep their number. Evacuations of data centres are
 * objects too, but only orders of their own change them. Deterministic; not thread-safe.
 */
public final class ConfigState implements StateMachine {
    /** Number of accepted tickets whose verdicts are cached: nine days at 7,100 changes a day. */
    public static final int MAX_ACCEPTED = 65_536;

    /** Number of refused tickets whose verdicts are cached. */
    public static final int MAX_REFUSED = 1_024;

    /** Number of removed objects whose ticket numbers are kept. */
    public static final int MAX_TOMBSTONES = 65_536;

    private final int mMaxAccepted;
    private final int mMaxTombstones;
    private ObjectTable mTable;
    private VerdictCache mVerdicts;
    private ConfigDocument mDocument = ConfigDocument.NONE;
    private long mVersion;
    private ConfigView mView = ConfigView.empty();

    private ConfigState(int maxAccepted, int maxTombstones) {
        checkArgument(maxTombstones > 0, "maxTombstones %s is not positive", maxTombstones);
        mMaxAccepted = maxAccepted;
        mMaxTombstones = maxTombstones;
        clear();
    }

    /** Returns an empty configuration of version 0. */
    public static ConfigState create() {
        return create(MAX_ACCEPTED, MAX_TOMBSTONES);
    }

    /**
     * Returns an empty configuration with other capacities, which must be equal on all replicas.
     */
    static ConfigState create(int maxAccepted, int maxTombstones) {
        return new ConfigState(maxAccepted, maxTombstones);
    }

    private void clear() {
        mTable = new ObjectTable(mMaxTombstones);
        mVerdicts = VerdictCache.create(mMaxAccepted, MAX_REFUSED);
        mDocument = ConfigDocument.NONE;
        mVersion = 0;
        mView = ConfigView.empty();
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        try {
            return apply(ConfigCommand.CODEC.decode(command)).encode();
        } catch (ProxyException e) {
            return Verdict.refused(Verdict.Outcome.INVALID, 0, e.getMessage()).encode();
        }
    }

    private Verdict apply(ConfigCommand command) {
        if (command instanceof ConfigCommand.ReplaceAll replace) {
            return replaceAll(replace);
        }
        if (command instanceof ConfigCommand.Evacuate order) {
            return order(new Evacuation(order.dataCentre()), order.basis());
        }
        if (command instanceof ConfigCommand.EndEvacuation order) {
            return order(new Removed(Evacuation.nameOf(order.dataCentre())), order.basis());
        }
        return applyTicket(((ConfigCommand.ApplyTicket) command).ticket());
    }

    /**
     * Carries out an order on an object that no ticket sets.
     *
     * <p>An order is proposed again until its outcome is known, and its operator may send it to
     * several hosts, so a copy may be committed after a later, opposite order. Such a copy has a
     * basis below the version of the later order and changes nothing.
     */
    private Verdict order(ConfigChange change, long basis) {
        if (isInForce(change)) {
            return Verdict.accepted(0, mVersion);
        }
        ObjectName name = change.objectName();
        long changedIn =
                mTable.find(name)
                        .map(ObjectTable.VersionedChange::version)
                        .orElse(mTable.minDeltaVersion());
        if (changedIn > basis) {
            String detail = name + " was changed in version " + changedIn + ", after the order";
            return Verdict.refused(Verdict.Outcome.STALE, 0, detail);
        }
        mVersion++;
        put(Stream.of(change), 0);
        return Verdict.accepted(0, mVersion);
    }

    /**
     * Replaces all objects. A ticket whose number is not above that of the current document changes
     * nothing and counts as accepted.
     */
    private Verdict replaceAll(ConfigCommand.ReplaceAll command) {
        Ticket ticket = command.ticket();
        if (ticket.number() <= mDocument.number()) {
            return Verdict.accepted(ticket.number(), mVersion);
        }
        try {
            TicketCheck.checkNames(ticket);
            ReferenceCheck.check(new ObjectTable(mMaxTombstones), ticket);
        } catch (ProxyException e) {
            return Verdict.refused(Verdict.Outcome.INVALID, ticket.number(), e.getMessage());
        }
        mVersion++;
        put(replacements(ticket), ticket.number());
        mDocument = new ConfigDocument(ticket.number(), command.document());
        return Verdict.accepted(ticket.number(), mVersion);
    }

    /**
     * Returns the changes that turn the current objects into those of the ticket, including
     * removals.
     */
    private Stream<ConfigChange> replacements(Ticket ticket) {
        Set<ObjectName> kept =
                ticket.changes().map(ConfigChange::objectName).collect(Collectors.toSet());
        Stream<ConfigChange> removed =
                mTable.existingObjects().stream()
                        .map(ConfigChange::objectName)
                        .filter(name -> name.kind().isSetByTickets() && !kept.contains(name))
                        .map(Removed::new);
        Stream<ConfigChange> changed = ticket.changes().filter(change -> !isInForce(change));
        return Stream.concat(changed, removed).toList().stream();
    }

    private boolean isInForce(ConfigChange change) {
        return mTable.find(change.objectName())
                .map(ObjectTable.VersionedChange::change)
                .filter(change::equals)
                .isPresent();
    }

    private Verdict applyTicket(Ticket ticket) {
        try {
            TicketCheck.check(ticket);
        } catch (ProxyException e) {
            return Verdict.refused(Verdict.Outcome.INVALID, ticket.number(), e.getMessage());
        }
        ContentDigest digest = ContentDigest.of(ticket);
        return mVerdicts
                .cachedVerdict(ticket.number(), digest)
                .or(() -> conflict(ticket))
                .or(() -> stale(ticket))
                .or(() -> invalid(ticket, digest))
                .orElseGet(() -> accept(ticket, digest));
    }

    private Optional<Verdict> conflict(Ticket ticket) {
        return mVerdicts
                .accepted(ticket.number())
                .map(
                        accepted ->
                                Verdict.refused(
                                        Verdict.Outcome.CONFLICT,
                                        ticket.number(),
                                        "ticket "
                                                + ticket.number()
                                                + " was accepted with other content as version "
                                                + accepted.version()));
    }

    private Optional<Verdict> stale(Ticket ticket) {
        long number = ticket.number();
        if (number <= mVerdicts.floor()) {
            String detail = "numbers up to " + mVerdicts.floor() + " are no longer accepted";
            return Optional.of(Verdict.refused(Verdict.Outcome.STALE, number, detail));
        }
        return ticket.changes()
                .map(change -> mTable.find(change.objectName()))
                .flatMap(Optional::stream)
                .filter(versioned -> versioned.ticket() >= number)
                .findFirst()
                .map(versioned -> versioned.name() + " was set by ticket " + versioned.ticket())
                .map(detail -> Verdict.refused(Verdict.Outcome.STALE, number, detail));
    }

    private Optional<Verdict> invalid(Ticket ticket, ContentDigest digest) {
        try {
            ReferenceCheck.check(mTable, ticket);
            return Optional.empty();
        } catch (ProxyException e) {
            mVerdicts.addRefused(ticket.number(), digest, e.getMessage());
            return Optional.of(
                    Verdict.refused(Verdict.Outcome.INVALID, ticket.number(), e.getMessage()));
        }
    }

    private Verdict accept(Ticket ticket, ContentDigest digest) {
        mVersion++;
        put(ticket.changes(), ticket.number());
        mVerdicts.addAccepted(ticket.number(), digest, mVersion);
        return Verdict.accepted(ticket.number(), mVersion);
    }

    /** Puts changes under the current version, which the caller has already incremented. */
    private void put(Stream<ConfigChange> changes, long number) {
        List<ObjectTable.VersionedChange> versionedChanges =
                changes.map(change -> new ObjectTable.VersionedChange(change, number, mVersion))
                        .toList();
        versionedChanges.forEach(mTable::put);
        versionedChanges.forEach(mTable::indexDigest);
        mVerdicts.raiseFloor(mTable.evictTombstones());
    }

    /**
     * Returns the last document that replaced the whole configuration; empty before the first one.
     */
    public Optional<ConfigDocument> document() {
        return Optional.of(mDocument).filter(document -> document.number() > 0);
    }

    /** Returns the current version, incremented by each ticket or document that takes effect. */
    public long version() {
        return mVersion;
    }

    /** Returns the number up to which tickets are refused unless their verdict is cached. */
    public long floor() {
        return mVerdicts.floor();
    }

    /** Returns an immutable view of the current version. */
    public ConfigView view() {
        if (mView.version() != mVersion) {
            ChangeSet set = changesSince(mView.version());
            ConfigView base = set.from() == 0 ? ConfigView.empty() : mView;
            mView = base.with(set.to(), set.changes());
        }
        return mView;
    }

    /**
     * Returns the changes that lead from {@code version}, or any later one, to the current version.
     */
    ChangeSet changesSince(long version) {
        return version > 0 && version >= mTable.minDeltaVersion()
                ? new ChangeSet(version, mVersion, mTable.changedSince(version))
                : new ChangeSet(0, mVersion, mTable.existingObjects());
    }

    /**
     * Changes that lead from one version to another.
     *
     * @param from the version to apply them to; 0 for the empty configuration
     */
    record ChangeSet(long from, long to, List<ConfigChange> changes) {}

    /** Returns all existing objects, ordered by name. */
    public Stream<ConfigObject> objects() {
        return mTable.existingObjects().stream().map(ConfigObject.class::cast);
    }

    /**
     * Returns the data centre of a name, which may be any text, if an order to evacuate it or to
     * end that has ever taken effect.
     */
    public Optional<DataCentre> orderedDataCentre(String name) {
        return mTable.find(ObjectName.of(ObjectKind.EVACUATION, name))
                .map(versioned -> DataCentre.of(versioned.name().id()));
    }

    /** Returns the number of the ticket that last set or removed an object, or 0 if none did. */
    public long ticketOf(ObjectName name) {
        return mTable.find(name).map(ObjectTable.VersionedChange::ticket).orElse(0L);
    }

    /** Returns the verdict on the accepted ticket with this number, if it is cached. */
    public Optional<Verdict> accepted(long number) {
        return mVerdicts.accepted(number).map(a -> Verdict.accepted(number, a.version()));
    }

    /** Returns the verdicts on all cached accepted tickets, ordered by number. */
    public Stream<Verdict> accepted() {
        return mVerdicts.accepted().map(a -> Verdict.accepted(a.getKey(), a.getValue().version()));
    }

    /** Returns the names of the objects that this ticket set or removed and no later ticket has. */
    public Stream<ObjectName> setBy(long number) {
        return mTable.versionedChanges()
                .filter(versioned -> versioned.ticket() == number)
                .map(ObjectTable.VersionedChange::name);
    }

    @Override
    public byte[] snapshot() {
        List<VerdictCache.AcceptedTicket> accepted =
                mVerdicts.accepted().map(e -> e.getValue()).toList();
        return ConfigSnapshot.CODEC.encode(
                new ConfigSnapshot.Contents(
                        mVersion,
                        mVerdicts.floor(),
                        mTable.minDeltaVersion(),
                        mTable.versionedChanges().map(ConfigState::encoded).toList(),
                        mVerdicts.accepted().mapToLong(e -> e.getKey()).toArray(),
                        longs(accepted, a -> a.digest().high()),
                        longs(accepted, a -> a.digest().low()),
                        longs(accepted, VerdictCache.AcceptedTicket::version),
                        refusals(),
                        mDocument));
    }

    private static long[] longs(
            List<VerdictCache.AcceptedTicket> accepted,
            ToLongFunction<VerdictCache.AcceptedTicket> field) {
        return accepted.stream().mapToLong(field).toArray();
    }

    private static ConfigSnapshot.EncodedChange encoded(ObjectTable.VersionedChange versioned) {
        return new ConfigSnapshot.EncodedChange(
                ConfigCodec.encode(versioned.change()), versioned.ticket(), versioned.version());
    }

    private List<ConfigSnapshot.CachedRefusal> refusals() {
        return mVerdicts
                .refused()
                .map(
                        e ->
                                new ConfigSnapshot.CachedRefusal(
                                        e.getKey().number(),
                                        e.getKey().digest().high(),
                                        e.getKey().digest().low(),
                                        e.getValue()))
                .toList();
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            var contents = (ConfigSnapshot.Contents) ConfigSnapshot.CODEC.decode(snapshot);
            clear();
            mVersion = contents.version();
            mDocument = contents.document();
            mTable.setMinDeltaVersion(contents.minDeltaVersion());
            for (ConfigSnapshot.EncodedChange encoded : contents.versionedChanges()) {
                restore(encoded);
            }
            restoreVerdicts(contents);
        } catch (ProxyException e) {
            throw new IllegalArgumentException("snapshot of the configuration is damaged", e);
        }
    }

    private void restore(ConfigSnapshot.EncodedChange encoded) throws ProxyException {
        ConfigChange change = ConfigCodec.decode(encoded.change());
        var versioned =
                new ObjectTable.VersionedChange(change, encoded.ticket(), encoded.version());
        mTable.put(versioned);
        mTable.indexDigest(versioned);
    }

    private void restoreVerdicts(ConfigSnapshot.Contents contents) {
        for (int i = 0; i < contents.numbers().length; i++) {
            mVerdicts.addAccepted(
                    contents.numbers()[i],
                    new ContentDigest(contents.digestsHigh()[i], contents.digestsLow()[i]),
                    contents.versions()[i]);
        }
        contents.refusals()
                .forEach(
                        r ->
                                mVerdicts.addRefused(
                                        r.number(),
                                        new ContentDigest(r.digestHigh(), r.digestLow()),
                                        r.detail()));
        mVerdicts.raiseFloor(contents.floor());
    }
}
