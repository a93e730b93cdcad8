"""Short-lived certificates for tests, by the cryptography library."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

DAY = datetime.timedelta(days=1)


def name(text: str) -> x509.Name:
    """Makes a subject of one common name."""
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


class Authority:
    """Signs certificates for the hosts of one scenario.

    >>> authority = Authority(folder)
    >>> authority.section("127.0.0.2")
    {'certificate': ..., 'key': ..., 'authority': ...}
    """

    def __init__(self, folder: pathlib.Path, label: str = "authority"):
        self.folder = folder
        self.label = label
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.subject = name(label)
        self.path = folder / f"{label}.pem"
        built = self.builder(self.subject, self.key.public_key())
        ca = x509.BasicConstraints(ca=True, path_length=None)
        built = built.add_extension(ca, critical=True)
        self.write(self.path, built.sign(self.key, hashes.SHA256()))

    def builder(self, subject, public_key) -> x509.CertificateBuilder:
        """Begins a certificate."""
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.subject)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
        )

    def write(self, path: pathlib.Path, certificate) -> None:
        """Writes a certificate as PEM."""
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def section(self, host: str, authority: bool = True) -> dict[str, str]:
        """Makes a host's certificate and gives its TLS settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        address = x509.IPAddress(ipaddress.ip_address(host))
        built = self.builder(name(host), key.public_key()).add_extension(
            x509.SubjectAlternativeName([address]), critical=False
        )
        certificate = self.folder / f"{self.label}-{host}.crt.pem"
        self.write(certificate, built.sign(self.key, hashes.SHA256()))
        secret = self.folder / f"{self.label}-{host}.key.pem"
        secret.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        found = {"certificate": str(certificate), "key": str(secret)}
        if authority:
            found["authority"] = str(self.path)
        return found
