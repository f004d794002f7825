//! TLS for callers and operators.
//!
//! The certificate chain and its key are files, which are reloaded when their content changes. Open
//! connections keep the pair with which they were accepted.

#[cfg(test)]
mod tests;

use {
    crate::metrics::Metrics,
    derive_more::{Display, Error},
    futures_util::{Stream, StreamExt},
    poem::{
        http::uri::Scheme,
        listener::{Acceptor, AcceptorExt, RustlsCertificate, RustlsConfig},
        web::{LocalAddr, RemoteAddr},
    },
    rustls::{
        crypto::aws_lc_rs,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
        sign::CertifiedKey,
    },
    std::{fs, io, path::Path, sync::Arc, time::Duration},
    tokio::{sync::watch, time::MissedTickBehavior},
    tokio_stream::wrappers::WatchStream,
    tokio_util::sync::CancellationToken,
};

/// Flag that names the certificate chain.
const CERTIFICATE: &str = "--tls-certificate";
/// Flag that names the key.
const KEY: &str = "--tls-key";

/// Paths of a certificate chain and its key.
#[derive(Clone, Debug)]
pub(crate) struct Files {
    certificate: Arc<Path>,
    key: Arc<Path>,
}

/// Content of both files, or the reason why a file cannot be read.
#[derive(Clone, PartialEq, Eq)]
struct Content {
    certificate: Result<Vec<u8>, String>,
    key: Result<Vec<u8>, String>,
}

/// A certificate chain and its matching key, in PEM.
pub(crate) struct Pair {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

/// Every mistake that makes a pair unusable, with the flag of the file.
#[derive(Debug, Display, Error)]
#[display("{}", _0.join("; "))]
pub(crate) struct Unusable(#[error(not(source))] pub(crate) Vec<String>);

impl Files {
    /// Returns the files that the settings name, or `None` when TLS is off.
    ///
    /// # Errors
    /// If only one of the two is named.
    pub(crate) fn new(
        certificate: Option<&Arc<Path>>,
        key: Option<&Arc<Path>>,
    ) -> Result<Option<Self>, Unusable> {
        let needed = |flag: &str, by: &str| Err(Unusable(vec![format!("{flag}: needed by {by}")]));
        match (certificate, key) {
            (Some(certificate), Some(key)) => Ok(Some(Self {
                certificate: certificate.clone(),
                key: key.clone(),
            })),
            (None, None) => Ok(None),
            (Some(_), None) => needed(KEY, CERTIFICATE),
            (None, Some(_)) => needed(CERTIFICATE, KEY),
        }
    }

    /// Reads the pair and checks it.
    ///
    /// # Errors
    /// [`Unusable`] with every mistake found.
    pub(crate) fn read(&self) -> Result<Pair, Unusable> {
        self.content().pair()
    }

    fn content(&self) -> Content {
        let read = |flag: &str, path: &Path| {
            let content = fs::read(path);
            content.map_err(|error| format!("{flag}: cannot read {}: {error}", path.display()))
        };
        Content {
            certificate: read(CERTIFICATE, &self.certificate),
            key: read(KEY, &self.key),
        }
    }
}

impl Content {
    fn pair(self) -> Result<Pair, Unusable> {
        let chain = self.certificate.as_deref().map_err(Clone::clone);
        let chain =
            chain.and_then(|pem| chain_of(pem).map_err(|why| format!("{CERTIFICATE}: {why}")));
        let key = self.key.as_deref().map_err(Clone::clone);
        let key = key.and_then(|pem| key_of(pem).map_err(|why| format!("{KEY}: {why}")));
        let fits = match (chain, key) {
            (Ok(chain), Ok(key)) => fits(chain, key),
            (chain, key) => {
                let mistakes = chain.err().into_iter().chain(key.err());
                return Err(Unusable(mistakes.collect()));
            }
        };
        let pair = self.certificate.and_then(|certificate| {
            let key = self.key?;
            Ok(Pair { certificate, key })
        });
        let pair = fits.and(pair);
        pair.map_err(|mistake| Unusable(vec![mistake]))
    }
}

fn chain_of(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let chain = chain.map_err(|error| format!("not in PEM form: {error}"))?;
    if chain.is_empty() {
        return Err("holds no certificate in PEM form".to_owned());
    }
    Ok(chain)
}

fn key_of(pem: &[u8]) -> Result<PrivateKeyDer<'static>, String> {
    let key = PrivateKeyDer::from_pem_slice(pem);
    key.map_err(|_| "holds no private key in PEM form".to_owned())
}

fn fits(chain: Vec<CertificateDer<'static>>, key: PrivateKeyDer<'static>) -> Result<(), String> {
    let provider = aws_lc_rs::default_provider();
    match CertifiedKey::from_der(chain, key, &provider) {
        Ok(_) => Ok(()),
        Err(rustls::Error::InconsistentKeys(_)) => {
            Err(format!("{KEY}: does not fit the certificate"))
        }
        Err(rustls::Error::InvalidCertificate(error)) => {
            Err(format!("{CERTIFICATE}: not a valid certificate: {error}"))
        }
        Err(error) => Err(format!("{KEY}: cannot be used: {error}")),
    }
}

impl Pair {
    fn config(&self) -> RustlsConfig {
        let certificate = RustlsCertificate::new();
        let certificate = certificate.cert(self.certificate.as_slice());
        RustlsConfig::new().fallback(certificate.key(self.key.as_slice()))
    }
}

/// Accepts connections only once the first configuration is in effect.
///
/// poem's acceptor closes a connection that arrives before its first configuration.
struct ConfiguredAcceptor<A> {
    inner: A,
    configured: CancellationToken,
}

impl<A: Acceptor> Acceptor for ConfiguredAcceptor<A> {
    type Io = A::Io;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(A::Io, LocalAddr, RemoteAddr, Scheme)> {
        self.configured.cancelled().await;
        self.inner.accept().await
    }
}

/// Returns a TLS acceptor that uses the latest configuration of a stream.
pub(crate) fn secure(
    inner: impl Acceptor + 'static,
    configs: impl Stream<Item = RustlsConfig> + Send + Unpin + 'static,
) -> impl Acceptor + 'static {
    let configured = CancellationToken::new();
    let prepared = ConfiguredAcceptor {
        inner,
        configured: configured.clone(),
    };
    prepared.rustls(configs.inspect(move |_| configured.cancel()))
}

/// Watches the files of a pair for changes.
pub(crate) struct Watcher {
    files: Files,
    /// Content read last, whether usable or not.
    content: Content,
    pairs: watch::Sender<Arc<Pair>>,
    metrics: Arc<Metrics>,
}

impl Watcher {
    /// Reads the pair; also returns a stream of configurations, of which the first is available
    /// immediately.
    ///
    /// # Errors
    /// [`Unusable`] if the pair cannot be used.
    pub(crate) fn new(
        files: Files,
        metrics: Arc<Metrics>,
    ) -> Result<(Self, impl Stream<Item = RustlsConfig> + Unpin), Unusable> {
        let content = files.content();
        let (pairs, changes) = watch::channel(Arc::new(content.clone().pair()?));
        let configs = WatchStream::new(changes).map(|pair| pair.config());
        let watcher = Self {
            files,
            content,
            pairs,
            metrics,
        };
        Ok((watcher, configs))
    }

    /// Reads the files at each interval until `stop`.
    ///
    /// Contents are compared, because modification times are unreliable where a mount replaces
    /// whole directories.
    pub(crate) async fn run(mut self, interval: Duration, stop: CancellationToken) {
        let mut tick = tokio::time::interval(interval);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while stop.run_until_cancelled(tick.tick()).await.is_some() {
            let files = self.files.clone();
            if let Ok(content) = tokio::task::spawn_blocking(move || files.content()).await {
                self.apply(content);
            }
        }
    }

    /// Puts a changed pair into effect; reports an unusable one once.
    fn apply(&mut self, content: Content) {
        if content == self.content {
            return;
        }
        self.content = content.clone();
        match content.pair() {
            Ok(pair) => {
                self.pairs.send_replace(Arc::new(pair));
                self.metrics.tls_reloads.inc();
                log::info!("TLS certificate in effect");
            }
            Err(unusable) => {
                self.metrics.tls_refused.inc();
                log::error!(
                    "TLS certificate refused, the previous one stays in effect: {unusable}"
                );
            }
        }
    }
}
